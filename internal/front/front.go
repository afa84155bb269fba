// Package front receives callers' requests by HTTP and writes their answers.
//
// # Usage
//
//	k.Add(&front.Front{Common: c})
//
// net/http runs one task for each connection. The decisions are in package entry.
package front

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
	"balsamwharf.example/balsamwharf/internal/renew"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Front is the HTTP server for callers.
type Front struct {
	Common *common.Common
	// Listener is used instead of opening one at the settings' address.
	Listener net.Listener

	entry  *entry.Entry
	server *http.Server
}

// Name implements service.Service.
func (f *Front) Name() service.Name { return "front" }

// Needs implements service.Service.
func (f *Front) Needs() []service.Name { return []service.Name{"entry", "renew"} }

// Start implements service.Service.
func (f *Front) Start(ctx context.Context, finder service.Finder) error {
	var err error
	if f.entry, err = kernel.Find[*entry.Entry](finder, "entry"); err != nil {
		return err
	}
	certificates, err := kernel.Find[*renew.Renew](finder, "renew")
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

func (f *Front) newServer(ctx context.Context) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           f,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
}

func (f *Front) serve() {
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
func (f *Front) Stop(ctx context.Context) error { return f.server.Shutdown(ctx) }

// ServeHTTP runs one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	w.WriteHeader(a.Status)
	_, err := io.Copy(flushing{w}, a.Body)
	return err
}

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
