package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/fakenet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
)

// line is one daemon's way to the others; it stops while the daemon is paused.
type line struct {
	*fakenet.Caller
	life *life
}

// Call implements peer.Caller.
func (n *line) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	if err := n.life.pass(ctx); err != nil {
		return nil, err
	}
	reply, err := n.Caller.Call(ctx, to, m)
	if late := n.life.pass(ctx); late != nil {
		return nil, late
	}
	return reply, err
}

// Send implements peer.Caller.
func (n *line) Send(ctx context.Context, to ids.Daemon, head call.Head, body io.Reader) (*call.Answer, error) {
	if err := n.life.pass(ctx); err != nil {
		return nil, broken(err)
	}
	answer, err := n.Caller.Send(ctx, to, head, body)
	if late := n.life.pass(ctx); late != nil {
		if answer != nil && answer.Body != nil {
			_ = answer.Body.Close()
		}
		return nil, broken(late)
	}
	return answer, err
}

// source is one daemon's way to the log service.
type source struct {
	platformlog.Log
	life *life
	// cut is set while this daemon alone can't reach the log service.
	cut *atomic.Bool
}

var errCut = platformlog.NotAppended.New("no way to the log service")

// Append implements platformlog.Log.
func (s *source) Append(ctx context.Context, name platformlog.Stream, data []byte) (ids.Offset, error) {
	if err := s.life.pass(ctx); err != nil {
		return 0, err
	}
	if s.cut.Load() {
		return 0, errCut
	}
	at, err := s.Log.Append(ctx, name, data)
	if late := s.life.pass(ctx); late != nil {
		return 0, late
	}
	if err == nil && s.cut.Load() {
		return 0, errorx.ExternalError.New("the reply was lost")
	}
	return at, err
}

// Read implements platformlog.Log.
func (s *source) Read(ctx context.Context, name platformlog.Stream, from ids.Offset, limit int, wait time.Duration) (platformlog.Page, error) {
	if err := s.life.pass(ctx); err != nil {
		return platformlog.Page{}, err
	}
	if s.cut.Load() {
		return platformlog.Page{}, errCut
	}
	page, err := s.Log.Read(ctx, name, from, limit, wait)
	if late := s.life.pass(ctx); late != nil {
		return platformlog.Page{}, late
	}
	if s.cut.Load() {
		return platformlog.Page{}, errCut
	}
	return page, err
}

// dialer connects one daemon to the backend server on its VM and closes all
// connections when the daemon ends.
type dialer struct {
	to   *pipes
	life *life

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Dial implements gatekeeper.Dialer.
func (d *dialer) Dial(ctx context.Context, _ ids.Address) (net.Conn, error) {
	if err := d.life.pass(ctx); err != nil {
		return nil, err
	}
	c, err := d.to.dial(ctx)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil {
		d.open = map[net.Conn]bool{}
	}
	t := &tracked{Conn: c, dialer: d}
	d.open[t] = true
	return t, nil
}

func (d *dialer) close() {
	d.mu.Lock()
	open := d.open
	d.open = nil
	d.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

// tracked is a connection that its dialer forgets once it is closed.
type tracked struct {
	net.Conn
	dialer *dialer
}

// Close implements net.Conn.
func (t *tracked) Close() error {
	t.dialer.mu.Lock()
	delete(t.dialer.open, net.Conn(t))
	t.dialer.mu.Unlock()
	return t.Conn.Close()
}
