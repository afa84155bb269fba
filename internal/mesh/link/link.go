// Package link carries messages between the daemons of a platform over TCP.
//
// # Usage
//
//	answer, err := l.Ask(ctx, address, link.Pull{Version: 7})
//
//	s, err := l.Open(ctx, address) // for several messages in turn
//	defer s.Close()
//
// QUIC carries the messages of fleets that run without a platform. Here a handshake
// costs 2 ms of processor time and 9 KB between data centres, which are priced, and
// TCP next to nothing.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/pool"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// idleLimit is how many unused connections to one daemon are kept.
const idleLimit = 8

// Link holds the connections to other daemons.
type Link struct {
	mu    sync.Mutex
	pools map[ids.Address]*pool.Pool[*Conn]
}

// Name implements service.Service.
func (l *Link) Name() service.Name { return "link" }

// Needs implements service.Service.
func (l *Link) Needs() []service.Name { return nil }

// Start implements service.Service.
func (l *Link) Start(context.Context, service.Finder) error { return nil }

// Stop closes the idle connections.
func (l *Link) Stop(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		for _, c := range p.Close() {
			_ = c.Close()
		}
	}
	return nil
}

// Session is one exchange over a connection. It ends with Keep or Close.
type Session struct {
	*Conn
	// Reused is set when the connection served another exchange before.
	Reused bool

	pool *pool.Pool[*Conn]
	stop func() bool
}

// Open takes an idle connection or dials one. When the context ends before the
// session does, the connection is closed.
func (l *Link) Open(ctx context.Context, to ids.Address) (*Session, error) {
	p := l.pool(to)
	if c, ok := p.Get(); ok {
		return newSession(ctx, c, p, true), nil
	}
	c, err := Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return newSession(ctx, c, p, false), nil
}

// OpenNew dials a new connection; those that are idle are dropped.
func (l *Link) OpenNew(ctx context.Context, to ids.Address) (*Session, error) {
	p := l.pool(to)
	for c, ok := p.Get(); ok; c, ok = p.Get() {
		_ = c.Close()
	}
	c, err := Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return newSession(ctx, c, p, false), nil
}

func newSession(ctx context.Context, c *Conn, p *pool.Pool[*Conn], reused bool) *Session {
	return &Session{Conn: c, Reused: reused, pool: p, stop: context.AfterFunc(ctx, func() { _ = c.Close() })}
}

// Release leaves the connection to later sessions.
func (s *Session) Release() {
	if s.stop() && s.pool.Put(s.Conn) {
		return
	}
	_ = s.Conn.Close()
}

// Close ends the session and its connection.
func (s *Session) Close() {
	s.stop()
	_ = s.Conn.Close()
}

func (l *Link) pool(to ids.Address) *pool.Pool[*Conn] {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		l.pools = map[ids.Address]*pool.Pool[*Conn]{}
	}
	p, ok := l.pools[to]
	if !ok {
		p = &pool.Pool[*Conn]{Limit: idleLimit}
		l.pools[to] = p
	}
	return p
}

// Call sends one message and returns the answer. A connection that turns out to be
// dead is replaced once, so only questions that may be asked twice are asked so.
func (l *Link) Call(ctx context.Context, to ids.Address, m Message) (Message, error) {
	s, err := l.Open(ctx, to)
	if err != nil {
		return nil, err
	}
	answer, err := s.call(m)
	if err == nil || !s.Reused || ctx.Err() != nil {
		return answer, err
	}
	if s, err = l.OpenNew(ctx, to); err != nil {
		return nil, err
	}
	return s.call(m)
}

// CallWithin sends one message and waits at most d for the answer. After an error the
// session can only be closed.
func (s *Session) CallWithin(m Message, d time.Duration) (Message, error) {
	if err := s.Send(m); err != nil {
		return nil, err
	}
	if err := s.net.SetReadDeadline(time.Now().Add(d)); err != nil {
		return nil, errorx.Decorate(err, "wait for answer")
	}
	answer, err := s.Receive()
	if err != nil {
		return nil, err
	}
	if err := s.net.SetReadDeadline(time.Time{}); err != nil {
		return nil, errorx.Decorate(err, "wait for answer")
	}
	return answer, nil
}

func (s *Session) call(m Message) (Message, error) {
	if err := s.Send(m); err != nil {
		s.Close()
		return nil, err
	}
	answer, err := s.Receive()
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Release()
	return answer, nil
}
