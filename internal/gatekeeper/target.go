package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
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

// maxConnAttempts is how many connections one request tries, because a backend server
// may close a connection just before the request is sent on it.
const maxConnAttempts = 3

// target is one backend server with its slots and its idle connections. The lock of the
// gatekeeper guards the fields of the first group.
type target struct {
	announcement Announcement
	// addedAt is when the target was announced at its address, or again after it had
	// been leaving.
	addedAt   units.Instant
	renewedAt units.Instant
	leaving   bool
	// warmUpPublished is set when the end of the warm-up has been published.
	warmUpPublished bool

	id     ids.Target
	clock  *timer.Timer
	dialer Dialer
	queue  *slotQueue
	// endpoint is what new connections go to. It is replaced when the address or the
	// number of slots changes.
	endpoint atomic.Pointer[endpoint]
}

// endpoint is the address of a target with the idle connections to it.
type endpoint struct {
	address ids.Address
	idle    pool.Pool[*backend.Conn]
}

func newTarget(g *Gatekeeper, a Announcement, now units.Instant) *target {
	t := &target{id: a.ID, announcement: a, addedAt: now, renewedAt: now, clock: g.Common.Clock, dialer: g.Dialer}
	if t.dialer == nil {
		t.dialer = &tcpDialer{}
	}
	t.queue = newSlotQueue(g.Common.Invariant, a.Slots)
	t.endpoint.Store(newEndpoint(a))
	return t
}

func newEndpoint(a Announcement) *endpoint {
	e := &endpoint{address: a.Address}
	e.idle.Limit = a.Slots
	return e
}

// update applies a changed announcement of the same service. The caller holds the
// gatekeeper's lock.
func (t *target) update(a Announcement, now units.Instant) {
	if t.leaving || t.announcement.Address != a.Address {
		t.addedAt = now
	}
	if t.announcement.Address != a.Address || t.announcement.Slots != a.Slots {
		old := t.endpoint.Swap(newEndpoint(a))
		old.close()
	}
	t.announcement = a
	t.leaving = false
	t.warmUpPublished = false
	t.queue.reopen()
	t.queue.resize(a.Slots)
}

// drain refuses new and queued requests; those in flight continue. The caller holds the
// gatekeeper's lock.
func (t *target) drain() {
	t.leaving = true
	t.queue.close()
}

// describe returns the entry of the target in the member that is published. The caller
// holds the gatekeeper's lock.
func (t *target) describe(now units.Instant) member.Target {
	return member.Target{
		ID:      t.announcement.ID,
		Service: t.announcement.Service,
		Slots:   units.Slots(t.announcement.Slots),
		WarmUp:  t.announcement.WarmUp,
		Age:     now.Sub(t.addedAt),
		Leaving: t.leaving,
	}
}

// load returns the load report of the target.
func (t *target) load() call.Load {
	l := t.queue.load()
	l.Target = t.id
	return l
}

// close closes the idle connections. Those in use close when they are returned.
func (t *target) close() { t.endpoint.Load().close() }

// close closes the idle connections and the pool.
func (e *endpoint) close() {
	for _, c := range e.idle.Close() {
		_ = c.Close()
	}
}

// send sends the request once. It tries another connection only if no byte of the
// request was written to the one before, and blocks until the head of the answer
// arrives. An error has the verdict unrun if no byte was written, else maybe.
func (t *target) send(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error) {
	for range maxConnAttempts {
		e := t.endpoint.Load()
		conn, err := t.connect(ctx, e)
		if err != nil {
			return nil, verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the backend server can't be reached", err)
		}
		remaining, _ := t.clock.Remaining(ctx)
		req := newRequest(ctx, remaining, head, body)
		resp, sent, err := conn.Exchange(ctx, req)
		if err == nil {
			return newAnswer(e, conn, resp), nil
		}
		_ = conn.Close()
		if sent {
			return nil, exchangeError(ctx, err)
		}
		if !errors.Is(err, backend.ErrClosed) {
			return nil, verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the request was given up before it began", err)
		}
	}
	return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server closes its connections")
}

// connect returns an idle connection that is still open, or a new one.
func (t *target) connect(ctx context.Context, e *endpoint) (*backend.Conn, error) {
	for {
		c, ok := e.idle.Get()
		if !ok {
			return t.dial(ctx, e.address)
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

// exchangeError returns the error of a request that may have run.
func exchangeError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(verdict.Maybe, http.StatusGatewayTimeout, "the backend server did not answer within the deadline", err)
	}
	return verdict.Wrap(verdict.Maybe, http.StatusBadGateway, "the backend server broke off", err)
}

// newRequest returns the HTTP request for the backend server. Its Timeout header is the
// remaining time in milliseconds, at least 1.
func newRequest(ctx context.Context, remaining time.Duration, head call.Head, body io.Reader) *http.Request {
	req := (&http.Request{Method: head.Method, Host: head.Host, Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	req.URL = opaqueURL(head)
	for name, values := range head.Header {
		req.Header[name] = values
	}
	req.Header.Set("Timeout", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if head.Length != 0 && body != nil {
		req.Body = io.NopCloser(body)
		req.ContentLength = int64(head.Length)
	}
	return req
}

func newAnswer(e *endpoint, conn *backend.Conn, resp *http.Response) *call.Answer {
	body := &pooledBody{ReadCloser: resp.Body, conn: conn, idle: &e.idle}
	return &call.Answer{Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, Length: units.Bytes(resp.ContentLength), Body: body}
}

// pooledBody is the body of an answer. Closing it returns the connection to the pool,
// or closes it if it can't be used again.
type pooledBody struct {
	io.ReadCloser
	conn *backend.Conn
	idle *pool.Pool[*backend.Conn]
	once sync.Once
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.returnConn)
	return err
}

func (b *pooledBody) returnConn() {
	if !b.conn.Reusable() || !b.idle.Put(b.conn) {
		_ = b.conn.Close()
	}
}
