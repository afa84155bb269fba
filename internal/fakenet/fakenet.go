// Package fakenet stands in for the network between daemons in tests that run in
// virtual time.
//
// # Usage
//
//	var n fakenet.Net
//	caller := n.Join("vm1", handler)
//	n.Cut("vm1", "vm2")     // messages from vm1 to vm2 are lost
//	n.SetDelay(time.Millisecond)
package fakenet

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Handler answers what reaches one daemon.
type Handler interface {
	Control(ctx context.Context, from ids.Daemon, m message.Message) (message.Message, error)
	Request(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error)
}

// Net carries messages between daemons. The zero Net carries all at once.
type Net struct {
	mu       sync.Mutex
	handlers map[ids.Daemon]Handler
	cuts     map[link]bool
	delay    time.Duration
	calls    int
}

// link is one direction between two daemons.
type link struct{ from, to ids.Daemon }

// Join adds a daemon and returns its side of the network. A second Join with the
// same name replaces the first, as a restart does.
func (n *Net) Join(id ids.Daemon, h Handler) *Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers == nil {
		n.handlers = map[ids.Daemon]Handler{}
	}
	n.handlers[id] = h
	return &Caller{net: n, self: id}
}

// Leave removes a daemon, as a failure of its VM does.
func (n *Net) Leave(id ids.Daemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, id)
}

// Cut loses every message in one direction, until Mend.
func (n *Net) Cut(from, to ids.Daemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = map[link]bool{}
	}
	n.cuts[link{from, to}] = true
}

// Mend carries messages in one direction again.
func (n *Net) Mend(from, to ids.Daemon) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
}

// SetDelay sets the time that each message takes.
func (n *Net) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Calls returns how many messages were sent.
func (n *Net) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// pass carries one message; it fails when the context ends first, as it must when
// the message is lost.
func (n *Net) pass(ctx context.Context, from, to ids.Daemon) error {
	n.mu.Lock()
	cut, delay := n.cuts[link{from, to}], n.delay
	n.calls++
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Net) handler(id ids.Daemon) (Handler, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[id]
	if !ok {
		return nil, errorx.ExternalError.New("daemon %s is not on the network", id)
	}
	return h, nil
}

// Caller is one daemon's side of the network; it implements peer.Caller and is
// added to a kernel under the name "dial".
type Caller struct {
	net  *Net
	self ids.Daemon
}

// Name implements service.Service.
func (c *Caller) Name() service.Name { return "dial" }

// Needs implements service.Service.
func (c *Caller) Needs() []service.Name { return nil }

// Start implements service.Service.
func (c *Caller) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (c *Caller) Stop(context.Context) error { return nil }

// Call implements peer.Caller.
func (c *Caller) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	if err := c.net.pass(ctx, c.self, to); err != nil {
		return nil, err
	}
	h, err := c.net.handler(to)
	if err != nil {
		return nil, err
	}
	reply, err := h.Control(ctx, c.self, m)
	if err != nil {
		return nil, err
	}
	return reply, c.net.pass(ctx, to, c.self)
}

// Send implements peer.Caller.
func (c *Caller) Send(ctx context.Context, to ids.Daemon, head call.Head, body io.Reader) (*call.Answer, error) {
	if err := c.net.pass(ctx, c.self, to); err != nil {
		return nil, verdict.Wrap(verdict.Maybe, 502, "the request was lost", err)
	}
	h, err := c.net.handler(to)
	if err != nil {
		return nil, verdict.Wrap(verdict.Unrun, 503, "the daemon can't be reached", err)
	}
	answer, err := h.Request(ctx, head, body)
	if err != nil {
		return answer, err
	}
	if err := c.net.pass(ctx, to, c.self); err != nil {
		_ = answer.Body.Close()
		return nil, verdict.Wrap(verdict.Maybe, 502, "the answer was lost", err)
	}
	return answer, nil
}
