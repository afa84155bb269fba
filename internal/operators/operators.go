// Package operators serves the HTTP interface for operators: settings, status, burn
// reports, metrics and profiles.
//
// # Usage
//
//	k.Add(&operators.Server{Common: c, Log: log})
//
// A credential covers the subtree of its team; the root credential covers all.
// Metrics, status, targets, burn reports, force queries and edit lookups need none.
// pkg/client is the client, pkg/api has the types of the JSON bodies.
package operators

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/renew"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/api"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 1 << 20
)

// Server is the HTTP server for operators.
type Server struct {
	Common *common.Common
	Log    platformlog.Log
	Certs  *certs.Certs
	// Level is the log level, which operators may change at run time; nil fixes it.
	Level *zap.AtomicLevel
	// Listener is an open listener to serve on; if nil, Start listens at the address
	// in the settings.
	Listener net.Listener

	tail      *tail.Tail
	publish   *publish.Publisher
	directory *directory.Directory
	lease     leasecheck.Checker
	force     force
	burn      *burn.Tracker
	peers     peer.Caller
	renew     *renew.Reloader
	server    *http.Server
}

// force reports which records are in force.
type force interface {
	InForce(at ids.Offset) bool
	Newest() ids.Offset
}

// Name implements service.Service.
func (o *Server) Name() service.Name { return "operators" }

// Needs implements service.Service.
func (o *Server) Needs() []service.Name {
	return []service.Name{"timer", "tail", "publish", "directory", "confirm", "force", "burn", "dial", "renew"}
}

// Start implements service.Service.
func (o *Server) Start(_ context.Context, f service.Finder) error {
	if err := o.bind(f); err != nil {
		return err
	}
	if o.Listener == nil {
		var err error
		if o.Listener, err = net.Listen("tcp", string(o.Common.Settings.Listen.Operators)); err != nil {
			return errorx.Decorate(err, "listen for operators")
		}
	}
	o.server = &http.Server{Handler: o.mux(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(zap.NewNop())}
	o.server.TLSConfig = o.renew.Server()
	go o.serve()
	return nil
}

func (o *Server) bind(f service.Finder) error {
	return errors.Join(
		kernel.Bind(f, "tail", &o.tail),
		kernel.Bind(f, "publish", &o.publish),
		kernel.Bind(f, "directory", &o.directory),
		kernel.Bind(f, "confirm", &o.lease),
		kernel.Bind(f, "force", &o.force),
		kernel.Bind(f, "burn", &o.burn),
		kernel.Bind(f, "dial", &o.peers),
		kernel.Bind(f, "renew", &o.renew),
	)
}

func (o *Server) serve() {
	var err error
	if o.server.TLSConfig != nil {
		err = o.server.ServeTLS(o.Listener, "", "")
	} else {
		err = o.server.Serve(o.Listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		o.Common.Warn(event.ListenFailed, zap.Error(err))
	}
}

// Stop implements service.Service.
func (o *Server) Stop(ctx context.Context) error { return o.server.Shutdown(ctx) }

// mux returns the routes, each with whether it needs a credential.
func (o *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", publicCall(o.status))
	mux.HandleFunc("GET /v1/targets", publicCall(o.targets))
	mux.HandleFunc("GET /v1/force", publicCall(o.inForce))
	mux.HandleFunc("GET /v1/burn", publicCall(o.reportBurn))
	mux.HandleFunc("GET /v1/edits/{id}", publicCall(o.lookupEdit))
	mux.HandleFunc("GET /v1/sections", o.credentialCall(o.sections))
	mux.HandleFunc("GET /v1/history", o.credentialCall(o.history))
	mux.HandleFunc("GET /v1/accounts", o.credentialCall(o.accounts))
	mux.HandleFunc("POST /v1/edits", o.credentialCall(o.submitEdit))
	mux.HandleFunc("PUT /v1/level", o.credentialCall(o.setLevel))
	mux.HandleFunc("GET /metrics", o.metrics)
	mux.HandleFunc("GET /debug/pprof/", o.credentialHandler(pprof.Index))
	mux.HandleFunc("GET /debug/pprof/profile", o.credentialHandler(pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", o.credentialHandler(pprof.Trace))
	return mux
}

// callFunc handles one call and returns a value that is encoded as JSON, or an error.
type callFunc func(r *http.Request) (any, error)

// publicCall wraps a call that needs no credential. It limits the request body,
// encodes the result as JSON and writes an error as a problem document.
func publicCall(call callFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		result, err := call(r)
		if err != nil {
			writeProblem(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	}
}

// httpError is an error with the HTTP status of the response.
type httpError struct {
	status int
	detail string
}

// Error implements error.
func (r *httpError) Error() string { return r.detail }

// writeProblem writes err as a problem document (RFC 9457). Errors other than httpError
// get status 500.
func writeProblem(w http.ResponseWriter, err error) {
	r := &httpError{status: http.StatusInternalServerError, detail: err.Error()}
	errors.As(err, &r)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(api.Problem{Title: http.StatusText(r.status), Status: r.status, Detail: r.detail})
}
