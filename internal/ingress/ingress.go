// Package ingress is the HTTP server for callers: it parses their requests and writes the
// answers.
//
// # Usage
//
//	k.Add(&ingress.Ingress{Common: c})
//
// net/http runs one goroutine for each connection. Package entry decides what happens to a
// request.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/inflight"
	"balsamwharf.example/balsamwharf/internal/pool"
	"balsamwharf.example/balsamwharf/internal/renew"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	bufferSize        = 32 << 10
)

// buffers is the pool of copy buffers for the bodies of answers.
var buffers = pool.Buffers{Size: bufferSize}

var errLeaving = verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "this daemon is leaving").After(time.Second)

// Ingress listens for callers and serves their requests over HTTP/1.1 and HTTP/2. It is
// the service "ingress".
type Ingress struct {
	Common *common.Common
	// Listener is used, if set, instead of listening on the address in the settings.
	Listener net.Listener

	entry    *entry.Entry
	server   *http.Server
	inFlight inflight.Counter
}

// Name implements service.Service.
func (i *Ingress) Name() service.Name { return "ingress" }

// Needs implements service.Service.
func (i *Ingress) Needs() []service.Name { return []service.Name{"entry", "renew"} }

// Start implements service.Service.
func (i *Ingress) Start(ctx context.Context, finder service.Finder) error {
	var err error
	if i.entry, err = kernel.Find[*entry.Entry](finder, "entry"); err != nil {
		return err
	}
	certificates, err := kernel.Find[*renew.Reloader](finder, "renew")
	if err != nil {
		return err
	}
	if i.Listener == nil {
		if i.Listener, err = net.Listen("tcp", string(i.Common.Settings.Listen.Callers)); err != nil {
			return errorx.Decorate(err, "listen for callers")
		}
	}
	i.server = i.newServer(ctx)
	i.server.TLSConfig = certificates.Server()
	go i.serve()
	return nil
}

func (i *Ingress) newServer(ctx context.Context) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: i,

		DisableGeneralOptionsHandler: true,

		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
}

func (i *Ingress) serve() {
	var err error
	if i.server.TLSConfig != nil {
		err = i.server.ServeTLS(i.Listener, "", "")
	} else {
		err = i.server.Serve(i.Listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		i.Common.Warn(event.ListenFailed, zap.Error(err))
	}
}

// Stop refuses new connections and blocks until no request is in flight or ctx is done.
func (i *Ingress) Stop(ctx context.Context) error { return i.server.Shutdown(ctx) }

// Close refuses new requests from now on. It doesn't wait for those in flight.
func (i *Ingress) Close() { i.inFlight.Close() }

// Wait blocks until no request is in flight or ctx is done. It must be called after Close.
func (i *Ingress) Wait(ctx context.Context) error { return i.inFlight.Wait(ctx) }

// ServeHTTP serves one request. It aborts the connection or stream if the answer can't be
// written completely.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !i.inFlight.Begin() {
		w.Header().Set("Connection", "close")
		writeProblem(w, errLeaving)
		return
	}
	defer i.inFlight.End()
	request, err := requestOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	if r.ProtoMajor == 1 {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	body := newTrackedBody(r)
	defer body.interruptRead(w)
	answer, err := i.entry.Serve(r.Context(), request, body)
	if err != nil {
		i.logRefusal(request, err)
		writeProblem(w, err)
		return
	}
	defer answer.Body.Close()
	defer body.interruptRead(w)
	if err := writeAnswer(w, answer); err != nil {
		i.Common.Debug(event.AnswerTruncated, zap.Error(err))
		abort(w, r)
	}
}

// writeAnswer writes the answer to w. An error means that the caller got a truncated one.
func writeAnswer(w http.ResponseWriter, a *call.Answer) error {
	copyHeader(w.Header(), a.Header)
	w.Header().Set("Verdict", "ran")
	for name := range a.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(a.Status)
	if err := copyBody(w, a); err != nil {
		return err
	}
	for name, values := range a.Trailer {
		w.Header()[name] = values
	}
	return nil
}

// copyBody copies the answer's body to w. It flushes after each read, so that the parts of
// a slow answer reach the caller at once, unless the body is known to fit one buffer.
func copyBody(w http.ResponseWriter, a *call.Answer) error {
	buffer := buffers.Get()
	defer buffers.Put(buffer)
	to := io.Writer(flushWriter{w})
	if a.Length >= 0 && a.Length <= bufferSize {
		to = onlyWriter{w}
	}
	_, err := io.CopyBuffer(to, a.Body, *buffer)
	return err
}

// onlyWriter hides the ReadFrom method, which would allocate a buffer of its own.
type onlyWriter struct{ io.Writer }

// flushWriter flushes after each write.
type flushWriter struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, http.NewResponseController(f.w).Flush()
}
