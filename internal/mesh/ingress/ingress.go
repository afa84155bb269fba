// Package ingress accepts callers' connections and serves their requests over HTTP/1.1.
//
// # Usage
//
//	k.Add(&ingress.Ingress{Common: c, Dialect: dialect})
//
// For each connection, one goroutine reads requests and another writes the answers in
// order. So pipelined requests run concurrently, and a caller that disconnects is noticed
// at once. Messages are parsed and written by net/http, but its server is not used, since
// it handles pipelined requests one after the other.
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
	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/listen"
	"balsamwharf.example/balsamwharf/internal/mesh/memory"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Dialect translates between callers' HTTP and plain values.
type Dialect interface {
	// Reject returns why a request can't be passed on as it came, or nil.
	Reject(r *http.Request) *verdict.Error
	// Inbound returns the caller's request.
	Inbound(r *http.Request, b body.Body) request.Inbound
	// Refusal returns the headers of the answer to a refused request.
	Refusal(a request.Inbound, e *verdict.Error) http.Header
}

// server serves requests; the router implements it.
type server interface {
	Serve(ctx context.Context, a request.Inbound) (request.Answer, error)
}

// defaultLimits applies until the first configuration is loaded.
var defaultLimits = policy.Limits{
	Header: 16 << 10, Body: 16 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

// Ingress listens for callers and serves their connections.
type Ingress struct {
	Common  *common.Common
	Dialect Dialect
	// Listener is used, if set, instead of listening on the address in the settings.
	Listener net.Listener

	router   server
	config   *config.Config
	memory   *memory.Memory
	inFlight inflight.Counter
	draining atomic.Bool
	// abort cancels all requests in flight.
	abort context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*conn]bool
}

// Name implements service.Service.
func (i *Ingress) Name() service.Name { return "ingress" }

// Needs implements service.Service.
func (i *Ingress) Needs() []service.Name { return []service.Name{"router", "config", "memory"} }

// Start implements service.Service.
func (i *Ingress) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(kernel.Bind(f, "router", &i.router), kernel.Bind(f, "config", &i.config), kernel.Bind(f, "memory", &i.memory)); err != nil {
		return err
	}
	i.conns = map[*conn]bool{}
	if i.Listener == nil {
		listener, err := net.Listen("tcp", string(i.Common.Mesh.Sockets.Callers))
		if err != nil {
			return errorx.Decorate(err, "listen for callers")
		}
		i.Listener = listener
	}
	ctx, i.abort = context.WithCancelCause(ctx)
	go i.listen(ctx)
	return nil
}

// Stop closes the listener and all connections.
func (i *Ingress) Stop(context.Context) error {
	err := i.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.net.Close()
	}
	return err
}

// DisableKeepAlive makes every answer the last one of its connection. New connections are
// still accepted, because callers notice late that the daemon is stopping.
func (i *Ingress) DisableKeepAlive() { i.draining.Store(true) }

// Close closes the listener and the idle connections. Requests in flight continue; Wait
// blocks until they are answered.
func (i *Ingress) Close() {
	i.draining.Store(true)
	_ = i.Listener.Close()
	i.mu.Lock()
	for c := range i.conns {
		c.closeWhenIdle()
	}
	i.mu.Unlock()
	i.inFlight.Close()
}

// Abort cancels the requests in flight. They are answered as failed, so that the answers
// that are queued behind them on the same connection can be written.
func (i *Ingress) Abort() { i.abort(request.ErrDaemonStopping) }

// Wait blocks until no connection is open or the context ends. It must be called after
// Close.
func (i *Ingress) Wait(ctx context.Context) error { return i.inFlight.Wait(ctx) }

func (i *Ingress) listen(ctx context.Context) {
	listen.Loop(ctx, i.Common, i.Listener, func(c net.Conn) {
		if !i.inFlight.Begin() {
			_ = c.Close()
			return
		}
		go i.serve(ctx, c)
	})
}

func (i *Ingress) serve(ctx context.Context, c net.Conn) {
	defer i.inFlight.End()
	conn := newConn(i, c)
	i.mu.Lock()
	i.conns[conn] = true
	i.mu.Unlock()
	conn.serve(ctx)
	i.mu.Lock()
	delete(i.conns, conn)
	i.mu.Unlock()
}

func (i *Ingress) limits() policy.Limits {
	if p, ok := i.config.Policy(); ok {
		return p.Limits
	}
	return defaultLimits
}
