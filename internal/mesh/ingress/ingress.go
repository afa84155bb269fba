// Package door serves callers' connections over HTTP/1.1.
//
// # Usage
//
//	k.Add(&door.Door{Common: c, Dialect: dialect})
//
// One task reads a connection and another writes its answers in order, so that
// requests that a caller sends without waiting run side by side, and that a caller who
// leaves is noticed at once. The messages are read and written by net/http; its server
// answers pipelined requests one after the other.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/inflight"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/listen"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Dialect translates between callers' HTTP and plain values.
type Dialect interface {
	// Inbound returns what the caller asks for.
	Inbound(r *http.Request, body []byte) request.Inbound
	// Refusal returns the headers of a refusal.
	Refusal(a request.Inbound, e *verdict.Error) http.Header
}

// server decides on requests.
type server interface {
	Serve(ctx context.Context, a request.Inbound) (request.Answer, error)
}

// defaultLimits apply until a configuration is known.
var defaultLimits = policy.Limits{
	Header: 16 << 10, Body: 16 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Ingress listens for callers.
type Ingress struct {
	Common  *common.Common
	Dialect Dialect
	// Listener is used instead of opening one at the settings' address.
	Listener net.Listener

	router   server
	config   *config.Config
	inFlight inflight.Counter
	draining atomic.Bool
	// abort ends the work on all requests.
	abort context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*conn]bool
}

// Name implements service.Service.
func (d *Ingress) Name() service.Name { return "ingress" }

// Needs implements service.Service.
func (d *Ingress) Needs() []service.Name { return []service.Name{"router", "config"} }

// Start implements service.Service.
func (d *Ingress) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(kernel.Bind(f, "router", &d.router), kernel.Bind(f, "config", &d.config)); err != nil {
		return err
	}
	d.conns = map[*conn]bool{}
	if d.Listener == nil {
		listener, err := net.Listen("tcp", string(d.Common.Mesh.Sockets.Callers))
		if err != nil {
			return errorx.Decorate(err, "listen for callers")
		}
		d.Listener = listener
	}
	ctx, d.abort = context.WithCancelCause(ctx)
	go d.listen(ctx)
	return nil
}

// Stop closes the listener and all connections.
func (d *Ingress) Stop(context.Context) error {
	err := d.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.net.Close()
	}
	return err
}

// DisableKeepAlive makes every answer the last one of its connection. New connections are still
// served, because callers learn late that the daemon leaves.
func (d *Ingress) DisableKeepAlive() { d.draining.Store(true) }

// Close ends the listener and the idle connections; requests in flight go on. Wait
// returns when they ended.
func (d *Ingress) Close() {
	d.draining.Store(true)
	_ = d.Listener.Close()
	d.mu.Lock()
	for c := range d.conns {
		c.closeWhenIdle()
	}
	d.mu.Unlock()
	d.inFlight.Close()
}

// Abort ends the work on the requests in flight. They are answered as failed, so that
// answers that wait behind them get through.
func (d *Ingress) Abort() { d.abort(request.ErrDaemonStopping) }

// Wait returns when no connection is open any more. It must follow Close.
func (d *Ingress) Wait(ctx context.Context) error { return d.inFlight.Wait(ctx) }

func (d *Ingress) listen(ctx context.Context) {
	listen.Loop(ctx, d.Common, d.Listener, func(c net.Conn) {
		if !d.inFlight.Begin() {
			_ = c.Close()
			return
		}
		go d.serve(ctx, c)
	})
}

func (d *Ingress) serve(ctx context.Context, c net.Conn) {
	defer d.inFlight.End()
	conn := newConn(d, c)
	d.mu.Lock()
	d.conns[conn] = true
	d.mu.Unlock()
	conn.serve(ctx)
	d.mu.Lock()
	delete(d.conns, conn)
	d.mu.Unlock()
}

func (d *Ingress) limits() policy.Limits {
	if p, ok := d.config.Policy(); ok {
		return p.Limits
	}
	return defaultLimits
}
