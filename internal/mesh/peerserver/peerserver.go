// Package accept serves the other daemons of a platform: requests that they hand to
// this gatekeeper, leave to admit requests, and what this daemon knows.
//
// # Usage
//
//	k.Add(&accept.Accept{Common: c})
//
// One task serves each connection, straight down.
package peerserver

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/inflight"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/listen"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/peersync"
	"balsamwharf.example/balsamwharf/internal/mesh/quota"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// proceedTimeout is how long a slot is held for a sender that does not send the
// body: a few round trips within a region.
const proceedTimeout = 300 * time.Millisecond

// Server listens for other daemons.
type Server struct {
	Common *common.Common
	// Listener is used instead of opening one at the settings' address.
	Listener net.Listener

	gate   *gate.Gate
	quota  *quota.Quota
	sync  *peersync.Syncer
	config *config.Config
	inFlight inflight.Counter
}

// Name implements service.Service.
func (a *Server) Name() service.Name { return "peerserver" }

// Needs implements service.Service.
func (a *Server) Needs() []service.Name { return []service.Name{"gate", "quota", "peersync", "config"} }

// Start implements service.Service.
func (a *Server) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "gate", &a.gate),
		kernel.Bind(f, "quota", &a.quota),
		kernel.Bind(f, "peersync", &a.sync),
		kernel.Bind(f, "config", &a.config),
	); err != nil {
		return err
	}
	if a.Listener == nil {
		listener, err := net.Listen("tcp", string(a.Common.Mesh.Sockets.Peers))
		if err != nil {
			return errorx.Decorate(err, "listen for daemons")
		}
		a.Listener = listener
	}
	go listen.Loop(ctx, a.Common, a.Listener, func(c net.Conn) { go a.serveConn(ctx, link.NewConn(c)) })
	return nil
}

// Stop closes the listener; connections end with the daemon's context.
func (a *Server) Stop(context.Context) error { return a.Listener.Close() }

// Close refuses new requests from now on; Wait returns when the others ended.
func (a *Server) Close() { a.inFlight.Close() }

// Wait returns when no request of another daemon is in flight. It must follow Close.
func (a *Server) Wait(ctx context.Context) error { return a.inFlight.Wait(ctx) }

// peer is one connection while it is served.
type peer struct {
	*link.Conn
	// messages carries what the other side sends; it is closed when that ends.
	messages chan link.Message
}

// serveConn answers the messages of one connection in turn.
func (a *Server) serveConn(ctx context.Context, c *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	p := &peer{Conn: c, messages: make(chan link.Message)}
	go p.receiveLoop(ctx, cancel)
	for m := range p.messages {
		if err := a.handle(ctx, p, m); err != nil {
			return
		}
	}
}

// receiveLoop passes messages on and ends the work for a peer that is gone.
func (p *peer) receiveLoop(ctx context.Context, gone context.CancelFunc) {
	defer gone()
	defer close(p.messages)
	for {
		m, err := p.Receive()
		if err != nil {
			return
		}
		select {
		case p.messages <- m:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Server) handle(ctx context.Context, p *peer, m link.Message) error {
	switch m := m.(type) {
	case link.Offer:
		return a.handleOffer(ctx, p, m.Terms)
	case link.Borrow:
		return p.Send(a.quota.Lend(ctx, m))
	case link.Pull:
		return p.Send(a.sync.HandlePull(m))
	default:
		return errorx.IllegalFormat.New("a %T begins no exchange", m)
	}
}

// handleOffer runs one request of another daemon, if the gate lets it.
func (a *Server) handleOffer(ctx context.Context, p *peer, t request.Terms) error {
	if !a.inFlight.Begin() {
		return p.Send(link.Declined{Reason: link.ReasonLeaving, Load: a.gate.Load()})
	}
	defer a.inFlight.End()
	var sendErr error
	slot, declined := a.gate.Reserve(ctx, t, func() { sendErr = p.Send(link.Queued{Load: a.gate.Load()}) })
	if declined != nil {
		return p.Send(*declined)
	}
	if sendErr != nil {
		slot.Release()
		return sendErr
	}
	if err := p.Send(link.Granted{}); err != nil {
		slot.Release()
		return err
	}
	order, ok := p.awaitProceed(ctx, a)
	if !ok {
		slot.Release()
		return errorx.TimeoutElapsed.New("the sender did not proceed")
	}
	result, load := slot.Run(ctx, order)
	return p.Send(a.reply(result, load))
}

// awaitProceed waits for the granted request.
func (p *peer) awaitProceed(ctx context.Context, a *Server) (request.Outbound, bool) {
	ctx, cancel := a.Common.Clock.Within(ctx, proceedTimeout)
	defer cancel()
	select {
	case m := <-p.messages:
		proceed, ok := m.(link.Proceed)
		return proceed.Order, ok
	case <-ctx.Done():
		return request.Outbound{}, false
	}
}

func (a *Server) reply(o outcome.Outcome, load request.Load) link.Message {
	switch o := o.(type) {
	case outcome.Answered:
		return link.Answered{Answer: o.Answer, Load: load, Version: a.config.Version(), Failure: o.Failure}
	case outcome.Unrun:
		return link.Failed{Unrun: true, Detail: o.Detail, Load: load}
	case outcome.Broken:
		return link.Failed{Unrun: !o.Sent, Unsent: !o.Sent, Detail: o.Detail, Load: load}
	default:
		return link.Failed{Detail: "unknown outcome", Load: load}
	}
}
