// Package front receives callers' requests by HTTP and writes their answers.
//
// # Usage
//
//	k.Add(&front.Front{Common: c})
//
// net/http runs one task for each connection. The decisions are in package entry.
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

// buffers are shared by all answers.
var buffers = pool.Buffers{Size: bufferSize}

var errLeaving = verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "this daemon is leaving").After(time.Second)

// Ingress is the HTTP server for callers.
type Ingress struct {
	Common *common.Common
	// Listener is used instead of opening one at the settings' address.
	Listener net.Listener

	entry  *entry.Entry
	server *http.Server
	flight inflight.Counter
}

// Name implements service.Service.
func (f *Ingress) Name() service.Name { return "front" }

// Needs implements service.Service.
func (f *Ingress) Needs() []service.Name { return []service.Name{"entry", "renew"} }

// Start implements service.Service.
func (f *Ingress) Start(ctx context.Context, finder service.Finder) error {
	var err error
	if f.entry, err = kernel.Find[*entry.Entry](finder, "entry"); err != nil {
		return err
	}
	certificates, err := kernel.Find[*renew.Reloader](finder, "renew")
	if err != nil {
		return err
	}
	if f.Listener == nil {
		if f.Listener, err = net.Listen("tcp", string(f.Common.Settings.Listen.Callers)); err != nil {
			return errorx.Decorate(err, "listen for callers")
		}
	}
	f.server = f.newServer(ctx)
	f.server.TLSConfig = certificates.Server()
	go f.serve()
	return nil
}

func (f *Ingress) newServer(ctx context.Context) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: f,

		DisableGeneralOptionsHandler: true,

		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
}

func (f *Ingress) serve() {
	var err error
	if f.server.TLSConfig != nil {
		err = f.server.ServeTLS(f.Listener, "", "")
	} else {
		err = f.server.Serve(f.Listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		f.Common.Warn(event.ListenFailed, zap.Error(err))
	}
}

// Stop refuses new connections and waits for the requests in flight.
func (f *Ingress) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

// Close refuses new requests from now on; Wait returns when the others ended.
func (f *Ingress) Close() { f.flight.Close() }

// Wait returns when no request is in flight any more. It must follow Close.
func (f *Ingress) Wait(ctx context.Context) error { return f.flight.Wait(ctx) }

// ServeHTTP runs one request.
func (f *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.flight.Begin() {
		w.Header().Set("Connection", "close")
		refuse(w, errLeaving)
		return
	}
	defer f.flight.End()
	arrival, err := arrivalOf(r)
	if err != nil {
		refuse(w, err)
		return
	}
	if r.ProtoMajor == 1 {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	body := newTracked(r)
	defer body.release(w)
	answer, err := f.entry.Serve(r.Context(), arrival, body)
	if err != nil {
		f.note(arrival, err)
		refuse(w, err)
		return
	}
	defer answer.Body.Close()
	defer body.release(w)
	if err := write(w, answer); err != nil {
		f.Common.Debug(event.AnswerCut, zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// write sends the answer; an error means that it is not whole.
func write(w http.ResponseWriter, a *call.Answer) error {
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

// copyBody hands pieces of unknown length on at once, so that slow answers reach
// the caller. A short answer of known length goes out in one piece.
func copyBody(w http.ResponseWriter, a *call.Answer) error {
	buffer := buffers.Get()
	defer buffers.Put(buffer)
	to := io.Writer(flushing{w})
	if a.Length >= 0 && a.Length <= bufferSize {
		to = onlyWriter{w}
	}
	_, err := io.CopyBuffer(to, a.Body, *buffer)
	return err
}

// onlyWriter hides ReadFrom, which would take a buffer of its own.
type onlyWriter struct{ io.Writer }

// flushing hands each piece on at once, so that slow answers reach the caller.
type flushing struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, http.NewResponseController(f.w).Flush()
}
