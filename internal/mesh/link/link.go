// Package link exchanges messages between the daemons of a platform over TCP.
//
// # Usage
//
//	answer, err := l.Call(ctx, address, link.Pull{Version: 7})
//
//	s, err := l.Open(ctx, address) // for several messages in turn
//	defer s.Close()
//
// Fleets that run without a platform use QUIC. On a platform, a QUIC handshake would cost
// 2 ms of processor time and 9 KB between data centres, which are priced, and a TCP
// handshake costs next to nothing.
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

// idleLimit is the largest number of idle connections in the pool of one daemon.
const idleLimit = 8

// Link holds a connection pool for each other daemon. The zero value works.
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

// Session is the exclusive use of one connection. It ends with Release or Close.
type Session struct {
	*Conn
	// Reused is set when the connection served an earlier session.
	Reused bool

	pool *pool.Pool[*Conn]
	stop func() bool
}

// Open returns a session on an idle connection, or dials a new one. When the context ends
// before the session does, the connection is closed.
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

// OpenNew closes the idle connections to the daemon and returns a session on a newly dialed
// one.
func (l *Link) OpenNew(ctx context.Context, to ids.Address) (*Session, error) {
	p := l.pool(to)
	closeIdle(p)
	c, err := Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return newSession(ctx, c, p, false), nil
}

func closeIdle(p *pool.Pool[*Conn]) {
	for c, ok := p.Get(); ok; c, ok = p.Get() {
		_ = c.Close()
	}
}

func newSession(ctx context.Context, c *Conn, p *pool.Pool[*Conn], reused bool) *Session {
	return &Session{Conn: c, Reused: reused, pool: p, stop: context.AfterFunc(ctx, func() { _ = c.Close() })}
}

// Release ends the session and returns its connection to the pool.
func (s *Session) Release() {
	if s.stop() && s.pool.Put(s.Conn) {
		return
	}
	_ = s.Conn.Close()
}

// Close ends the session and closes its connection.
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

// Call sends a message and blocks until the answer has arrived or the context ends. When a
// pooled connection turns out to be dead, Call repeats the message once on a new one, so it
// must only be used for messages that may be handled twice.
func (l *Link) Call(ctx context.Context, to ids.Address, m Message) (Message, error) {
	s, err := l.Open(ctx, to)
	if err != nil {
		return nil, err
	}
	answer, err := s.call(m)
	if err == nil || !s.Reused {
		return answer, err
	}
	if ctx.Err() != nil {
		// The other idle connections may have gone silent too, and the next call must not wait
		// for each of them.
		closeIdle(s.pool)
		return nil, err
	}
	if s, err = l.OpenNew(ctx, to); err != nil {
		return nil, err
	}
	return s.call(m)
}

// CallWithin sends a message and blocks for at most d until the answer has arrived. After an
// error the session can only be closed.
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
