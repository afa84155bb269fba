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

	gate     *gate.Gate
	quota    *quota.Quota
	sync     *peersync.Syncer
	config   *config.Config
	inFlight inflight.Counter
}

// Name implements service.Service.
func (s *Server) Name() service.Name { return "peerserver" }

// Needs implements service.Service.
func (s *Server) Needs() []service.Name { return []service.Name{"gate", "quota", "peersync", "config"} }

// Start implements service.Service.
func (s *Server) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "gate", &s.gate),
		kernel.Bind(f, "quota", &s.quota),
		kernel.Bind(f, "peersync", &s.sync),
		kernel.Bind(f, "config", &s.config),
	); err != nil {
		return err
	}
	if s.Listener == nil {
		listener, err := net.Listen("tcp", string(s.Common.Mesh.Sockets.Peers))
		if err != nil {
			return errorx.Decorate(err, "listen for daemons")
		}
		s.Listener = listener
	}
	go listen.Loop(ctx, s.Common, s.Listener, func(c net.Conn) { go s.serveConn(ctx, link.NewConn(c)) })
	return nil
}

// Stop closes the listener; connections end with the daemon's context.
func (s *Server) Stop(context.Context) error { return s.Listener.Close() }

// Close refuses new requests from now on; Wait returns when the others ended.
func (s *Server) Close() { s.inFlight.Close() }

// Wait returns when no request of another daemon is in flight. It must follow Close.
func (s *Server) Wait(ctx context.Context) error { return s.inFlight.Wait(ctx) }

// peer is one connection while it is served.
type peer struct {
	*link.Conn
	// messages carries what the other side sends; it is closed when that ends.
	messages chan link.Message
}

// serveConn answers the messages of one connection in turn.
func (s *Server) serveConn(ctx context.Context, c *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	p := &peer{Conn: c, messages: make(chan link.Message)}
	go p.receiveLoop(ctx, cancel)
	for m := range p.messages {
		if err := s.handle(ctx, p, m); err != nil {
			return
		}
	}
}

// receiveLoop passes messages on and ends the work for a peer that is gone.
func (p *peer) receiveLoop(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
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

func (s *Server) handle(ctx context.Context, p *peer, m link.Message) error {
	switch m := m.(type) {
	case link.Offer:
		return s.handleOffer(ctx, p, m.Terms)
	case link.Borrow:
		return p.Send(s.quota.Lend(ctx, m))
	case link.Pull:
		return p.Send(s.sync.HandlePull(m))
	default:
		return errorx.IllegalFormat.New("a %T begins no exchange", m)
	}
}

// handleOffer runs one request of another daemon, if the gate lets it.
func (s *Server) handleOffer(ctx context.Context, p *peer, t request.Terms) error {
	if !s.inFlight.Begin() {
		return p.Send(link.Declined{Reason: link.ReasonLeaving, Load: s.gate.Load()})
	}
	defer s.inFlight.End()
	var sendErr error
	slot, declined := s.gate.Reserve(ctx, t, func() { sendErr = p.Send(link.Queued{Load: s.gate.Load()}) })
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
	outbound, ok := p.awaitProceed(ctx, s)
	if !ok {
		slot.Release()
		return errorx.TimeoutElapsed.New("the sender did not proceed")
	}
	result, load := slot.Run(ctx, outbound)
	return p.Send(s.reply(result, load))
}

// awaitProceed waits for the granted request.
func (p *peer) awaitProceed(ctx context.Context, s *Server) (request.Outbound, bool) {
	ctx, cancel := s.Common.Clock.Within(ctx, proceedTimeout)
	defer cancel()
	select {
	case m := <-p.messages:
		proceed, ok := m.(link.Proceed)
		return proceed.Order, ok
	case <-ctx.Done():
		return request.Outbound{}, false
	}
}

func (s *Server) reply(o outcome.Outcome, load request.Load) link.Message {
	switch o := o.(type) {
	case outcome.Answered:
		return link.Answered{Answer: o.Answer, Load: load, Version: s.config.Version(), Failure: o.Failure}
	case outcome.Unrun:
		return link.Failed{Unrun: true, Detail: o.Detail, Load: load}
	case outcome.Broken:
		return link.Failed{Unrun: !o.Sent, Unsent: !o.Sent, Detail: o.Detail, Load: load}
	default:
		return link.Failed{Detail: "unknown outcome", Load: load}
	}
}
