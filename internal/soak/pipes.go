package soak

import (
	"context"
	"net"
	"sync"

	"github.com/joomcode/errorx"
)

// pipes is a listener whose connections are pipes in memory.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, errorx.ExternalError.New("the backend server is down")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (pipeAddr) String() string { return "pipe" }
