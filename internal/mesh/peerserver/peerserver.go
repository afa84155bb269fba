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
	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/feed"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/listen"
	"balsamwharf.example/balsamwharf/internal/mesh/memory"
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

// partTimeout is how long the next part of a body may take: as long as its sender tries to send it.
const partTimeout = 2 * time.Second

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
	memory   *memory.Memory
	inFlight inflight.Counter
}

// Name implements service.Service.
func (s *Server) Name() service.Name { return "peerserver" }

// Needs implements service.Service.
func (s *Server) Needs() []service.Name {
	return []service.Name{"gate", "quota", "peersync", "config", "feed", "memory"}
}

// Start implements service.Service.
func (s *Server) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "gate", &s.gate),
		kernel.Bind(f, "quota", &s.quota),
		kernel.Bind(f, "peersync", &s.sync),
		kernel.Bind(f, "config", &s.config),
		kernel.Bind(f, "feed", &s.feed),
		kernel.Bind(f, "memory", &s.memory),
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
		return s.handleOffer(ctx, p, m)
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
func (s *Server) handleOffer(ctx context.Context, p *peer, o link.Offer) error {
	if !s.inFlight.Begin() {
		return p.Send(link.Declined{Reason: link.ReasonLeaving, Load: s.gate.Load()})
	}
	defer s.inFlight.End()
	requests, answers := s.memory.Requests(), s.memory.Answers()
	defer requests.Release()
	defer answers.Release()
	if !requests.Take(max(o.Body, 0)) {
		return p.Send(link.Declined{Reason: link.ReasonOverloaded, Load: s.gate.Load()})
	}
	var sendErr error
	slot, declined := s.gate.Reserve(ctx, o.Terms, func() { sendErr = p.Send(link.Queued{Load: s.gate.Load()}) })
	if declined != nil {
		return p.Send(*declined)
	}
	if sendErr != nil {
		slot.Release()
		return sendErr
	}
	if err := p.Send(link.Granted{Parts: true}); err != nil {
		slot.Release()
		return err
	}
	outbound, err := s.awaitProceed(ctx, p, o)
	if err != nil {
		slot.Release()
		return err
	}
	if o.Body == 0 {
		// A request that is here runs, whether or not there was room for it.
		requests.Take(outbound.Body.Len())
	}
	outbound.Answers = answers
	result, load := slot.Run(ctx, outbound)
	return s.sendReply(p, o, s.reply(result, load))
}

// sendReply sends the answer in parts if it is long and the sender of the offer takes them.
func (s *Server) sendReply(p *peer, o link.Offer, m link.Message) error {
	a, ok := m.(link.Answered)
	if !ok || !o.Parts || !link.IsLong(a.Answer.Body) {
		return p.Send(m)
	}
	b := a.Answer.Body
	a.Answer.Body = body.Body{}
	return p.SendLong(link.LongAnswered{Answered: a, Length: b.Len()}, b)
}

// awaitProceed blocks until the granted request has arrived whole.
func (s *Server) awaitProceed(ctx context.Context, p *peer, o link.Offer) (request.Outbound, error) {
	first, err := s.next(ctx, p, proceedTimeout)
	if err != nil {
		return request.Outbound{}, err
	}
	switch m := first.(type) {
	case link.Proceed:
		return m.Request, nil
	case link.LongProceed:
		if m.Length > o.Body {
			return request.Outbound{}, errorx.IllegalFormat.New("a body of %d bytes follows an offer of %d", m.Length, o.Body)
		}
		m.Request.Body, err = link.ReceiveParts(m.Length, func() (link.Message, error) { return s.next(ctx, p, partTimeout) })
		return m.Request, err
	default:
		return request.Outbound{}, errorx.IllegalFormat.New("unexpected %T after a granted offer", first)
	}
}

// next blocks until the next message of an exchange has arrived.
func (s *Server) next(ctx context.Context, p *peer, within time.Duration) (link.Message, error) {
	ctx, cancel := s.Common.Clock.WithTimeout(ctx, within)
	defer cancel()
	select {
	case m, ok := <-p.messages:
		if !ok {
			return nil, errorx.ExternalError.New("the sender of a granted offer closed the connection")
		}
		return m, nil
	case <-ctx.Done():
		return nil, errorx.TimeoutElapsed.New("the sender of a granted offer did not send the request")
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
