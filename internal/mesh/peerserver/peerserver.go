// Package peerserver serves the other daemons of a platform: requests that they send to this
// gatekeeper, loans of quota tokens, and pulls of configuration and registrations.
//
// # Usage
//
//	k.Add(&peerserver.Server{Common: c})
//
// One task serves each connection.
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
	"balsamwharf.example/balsamwharf/internal/mesh/feed"
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

// proceedTimeout is how long a slot is reserved for a sender that does not send the request: a
// few round trips within a region.
const proceedTimeout = 300 * time.Millisecond

// Server listens for other daemons.
type Server struct {
	Common *common.Common
	// Listener replaces the listener at the configured address if it is set.
	Listener net.Listener

	gate     *gate.Gate
	quota    *quota.Quota
	sync     *peersync.Syncer
	config   *config.Config
	feed     *feed.Feed
	inFlight inflight.Counter
}

// Name implements service.Service.
func (s *Server) Name() service.Name { return "peerserver" }

// Needs implements service.Service.
func (s *Server) Needs() []service.Name {
	return []service.Name{"gate", "quota", "peersync", "config", "feed"}
}

// Start implements service.Service.
func (s *Server) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "gate", &s.gate),
		kernel.Bind(f, "quota", &s.quota),
		kernel.Bind(f, "peersync", &s.sync),
		kernel.Bind(f, "config", &s.config),
		kernel.Bind(f, "feed", &s.feed),
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

// Stop closes the listener; connections are closed when the daemon's context ends.
func (s *Server) Stop(context.Context) error { return s.Listener.Close() }

// Close makes the server decline new requests. Wait then returns when the others have ended.
func (s *Server) Close() { s.inFlight.Close() }

// Wait blocks until no request of another daemon is in flight. It must follow Close.
func (s *Server) Wait(ctx context.Context) error { return s.inFlight.Wait(ctx) }

// peer is one open connection.
type peer struct {
	*link.Conn
	// messages carries the received messages; it is closed when the connection ends.
	messages chan link.Message
}

// serveConn handles the messages of one connection one after another.
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

// receiveLoop delivers messages, and cancels the work for the peer when the connection ends.
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
	case link.Fetch:
		return p.Send(s.feed.HandleFetch(m))
	default:
		return errorx.IllegalFormat.New("unexpected %T at the start of an exchange", m)
	}
}

// handleOffer runs one request of another daemon if the gatekeeper grants a slot.
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
		return errorx.TimeoutElapsed.New("the sender of a granted offer did not send the request")
	}
	result, load := slot.Run(ctx, outbound)
	return p.Send(s.reply(result, load))
}

// awaitProceed blocks until the granted request has arrived; it is false if none did in time.
func (p *peer) awaitProceed(ctx context.Context, s *Server) (request.Outbound, bool) {
	ctx, cancel := s.Common.Clock.WithTimeout(ctx, proceedTimeout)
	defer cancel()
	select {
	case m := <-p.messages:
		proceed, ok := m.(link.Proceed)
		return proceed.Request, ok
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
