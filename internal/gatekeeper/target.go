package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/backend"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/pool"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// maxDials bounds how often one request looks for a connection that is still open.
const maxDials = 3

// typicalWeight is the weight of a new latency in the moving average.
const typicalWeight = 0.1

// target is one backend server with its slots and its idle connections.
type target struct {
	clock        *timer.Timer
	dialer       Dialer
	announcement Announcement
	announced    units.Instant
	renewed      units.Instant
	leaving      bool

	slots chan struct{}
	idle  pool.Pool[*backend.Conn]

	mu      sync.Mutex
	waiting int
	typical time.Duration
}

func newTarget(g *Gatekeeper, a Announcement) *target {
	clock := g.Common.Clock
	now := clock.Now()
	t := &target{clock: clock, announcement: a, announced: now, renewed: now, slots: make(chan struct{}, a.Slots)}
	t.idle.Limit = a.Slots
	if t.dialer = g.Dialer; t.dialer == nil {
		t.dialer = &tcp{}
	}
	return t
}

func (t *target) describe(now units.Instant) member.Target {
	return member.Target{
		ID:      t.announcement.ID,
		Service: t.announcement.Service,
		Slots:   units.Slots(t.announcement.Slots),
		Cold:    t.announcement.Cold,
		Age:     now.Sub(t.announced),
		Leaving: t.leaving,
	}
}

// enter waits for a slot.
func (t *target) enter(ctx context.Context) error {
	t.wait(1)
	defer t.wait(-1)
	select {
	case t.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the backend server had no free slot in time", ctx.Err())
	}
}

func (t *target) wait(change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting += change
}

// leave frees the slot and learns from the request's latency.
func (t *target) leave(took time.Duration) {
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.typical == 0 {
		t.typical = took
		return
	}
	t.typical += time.Duration(typicalWeight * float64(took-t.typical))
}

func (t *target) load() call.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return call.Load{
		Target:   t.announcement.ID,
		InFlight: len(t.slots),
		Queued:   t.waiting,
		Slots:    units.Slots(t.announcement.Slots),
		Typical:  t.typical,
		Leaving:  t.leaving,
	}
}

func (t *target) close() {
	for _, c := range t.idle.Close() {
		_ = c.Close()
	}
}

// run hands the request to a connection once. Only a connection on which no byte
// has left may be replaced by another.
func (t *target) run(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error) {
	for range maxDials {
		conn, err := t.connect(ctx)
		if err != nil {
			return nil, verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the backend server can't be reached", err)
		}
		left, _ := t.clock.Left(ctx)
		req := requestOf(ctx, left, head, body)
		resp, sent, err := conn.Exchange(ctx, req)
		if err == nil {
			return t.answerOf(conn, resp), nil
		}
		_ = conn.Close()
		if sent {
			return nil, failure(ctx, err)
		}
		if !errors.Is(err, backend.ErrClosed) {
			return nil, verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the request was given up before it began", err)
		}
	}
	return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server closes its connections")
}

// connect returns an idle connection that is still open, or a new one.
func (t *target) connect(ctx context.Context) (*backend.Conn, error) {
	for {
		c, ok := t.idle.Get()
		if !ok {
			return t.dial(ctx, t.announcement.Address)
		}
		if !c.Closed() {
			return c, nil
		}
	}
}

func (t *target) dial(ctx context.Context, addr ids.Address) (*backend.Conn, error) {
	c, err := t.dialer.Dial(ctx, addr)
	if err != nil {
		return nil, errorx.Decorate(err, "connect to backend server %s", addr)
	}
	return backend.New(c), nil
}

func failure(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(verdict.Maybe, http.StatusGatewayTimeout, "the backend server did not answer within the deadline", err)
	}
	return verdict.Wrap(verdict.Maybe, http.StatusBadGateway, "the backend server broke off", err)
}

// requestOf builds the HTTP request for the backend server.
func requestOf(ctx context.Context, left time.Duration, head call.Head, body io.Reader) *http.Request {
	req := (&http.Request{Method: head.Method, Host: head.Host, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	req.URL = opaqueURL(head)
	for name, values := range head.Header {
		req.Header[name] = values
	}
	req.Header.Set("Timeout", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if head.Length != 0 && body != nil {
		req.Body = io.NopCloser(body)
		req.ContentLength = int64(head.Length)
	}
	return req
}

func (t *target) answerOf(conn *backend.Conn, resp *http.Response) *call.Answer {
	back := &returned{ReadCloser: resp.Body, conn: conn, idle: &t.idle}
	return &call.Answer{Status: resp.StatusCode, Header: resp.Header, Length: units.Bytes(resp.ContentLength), Body: back}
}

// returned is an answer's body that gives its connection back.
type returned struct {
	io.ReadCloser
	conn *backend.Conn
	idle *pool.Pool[*backend.Conn]
	once sync.Once
}

// Close implements io.Closer.
func (r *returned) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(r.giveBack)
	return err
}

func (r *returned) giveBack() {
	if !r.conn.Free() || !r.idle.Put(r.conn) {
		_ = r.conn.Close()
	}
}
