package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// depth is how many requests of one connection may run at once.
	depth = 64
	// writeTimeout is for a caller that does not read its answer.
	writeTimeout = 5 * time.Second
	// linger is how long the other side's close is waited for after the last answer:
	// closing with unread bytes would reset the connection and lose the answer.
	linger = 300 * time.Millisecond
	// headerSlack is what the first line may take beyond the headers' limit.
	headerSlack = 1 << 10
	bufferSize  = 4 << 10
)

// conn is one caller's connection.
type conn struct {
	door    *Ingress
	net     net.Conn
	limited *io.LimitedReader
	reader  *bufio.Reader
	turns   chan *turn
	mu      sync.Mutex
	// open counts the requests that were read and not yet answered.
	open int
	// closing is set when the answer that ends the connection was chosen.
	closing bool
	// woken is set when the door wants an idle connection to end.
	woken atomic.Bool
}

// turn is one answer's place in the order of a connection.
type turn struct {
	request *http.Request
	arrival request.Inbound
	done    chan struct{}
	answer  request.Answer
	err     error
	// interim asks only for leave to send the body.
	interim bool
	// last is set when the connection ends after this answer.
	last bool
}

func newConn(d *Ingress, c net.Conn) *conn {
	limited := &io.LimitedReader{R: c}
	return &conn{door: d, net: c, limited: limited, reader: bufio.NewReaderSize(limited, bufferSize), turns: make(chan *turn, depth)}
}

// enter counts a request that was read; it is false when the connection is about to
// end, so that the request counts as unread.
func (c *conn) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.open++
	return true
}

// leave counts an answer and makes it the last one if nothing else is in flight and
// the daemon leaves.
func (c *conn) leave(t *turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 && c.door.leaving.Load() {
		t.last = true
	}
	c.closing = c.closing || t.last
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0
}

// wake makes an idle connection end.
func (c *conn) wake() {
	c.woken.Store(true)
	if c.idle() {
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// serve reads requests until the caller leaves or the connection ends.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	gone := func() { cancel(request.ErrCallerLeft) }
	defer gone()
	defer c.net.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(gone)
	}()
	for c.next(ctx) {
	}
	close(c.turns)
	c.watch(gone, written)
}

// watch waits until the last answer is written, and ends the work early for a caller
// that closes.
func (c *conn) watch(gone func(), written <-chan struct{}) {
	closed := make(chan struct{})
	_ = c.net.SetReadDeadline(time.Time{})
	go func() {
		defer close(closed)
		c.limited.N = 1 << 62
		_, err := io.Copy(io.Discard, c.reader)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			gone()
		}
	}()
	<-written
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.net.SetReadDeadline(time.Now().Add(linger))
	<-closed
}

// next reads one request and starts it; it is false when no other one is read.
func (c *conn) next(ctx context.Context) bool {
	limits := c.door.limits()
	if !c.await(limits) {
		return false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limited.N = max(int64(limits.Header)+headerSlack-int64(c.reader.Buffered()), 0)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		c.refuse(c.unread(err))
		return false
	}
	if !c.enter() {
		return false
	}
	t := &turn{request: r, done: make(chan struct{})}
	body, refusal := c.body(r, limits)
	if refusal != nil {
		t.arrival = c.door.Dialect.Inbound(r, nil)
		t.err, t.last = refusal, true
		close(t.done)
		c.turns <- t
		return false
	}
	_ = c.net.SetReadDeadline(time.Time{})
	t.arrival = c.door.Dialect.Inbound(r, body)
	last := r.Close || c.door.leaving.Load()
	t.last = last
	c.turns <- t
	go c.run(ctx, t)
	return !last
}

// run serves one request.
func (c *conn) run(ctx context.Context, t *turn) {
	defer close(t.done)
	t.answer, t.err = c.door.router.Serve(ctx, t.arrival)
}

// await waits for the first byte of a request.
func (c *conn) await(limits policy.Limits) bool {
	for {
		if c.woken.Load() && c.idle() && c.reader.Buffered() == 0 {
			return false
		}
		c.limited.N = 1 << 62
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if c.woken.Load() {
			_ = c.net.SetReadDeadline(time.Now().Add(wokenPoll))
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.idle() && !c.woken.Load() {
			return false
		}
	}
}

// wokenPoll is how often a connection that is to end looks whether it may.
const wokenPoll = 50 * time.Millisecond

// body reads the whole body of a request.
func (c *conn) body(r *http.Request, limits policy.Limits) ([]byte, *verdict.Error) {
	if r.ContentLength > int64(limits.Body) {
		return nil, verdict.New(verdict.Unrun, http.StatusRequestEntityTooLarge, "the body is longer than the configuration allows")
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.Header.Get("Expect") != "" {
		c.turns <- &turn{interim: true}
	}
	c.limited.N = 1 << 62
	_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limits.Body)+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, verdict.New(verdict.Unrun, http.StatusRequestTimeout, "the body did not arrive in time")
	}
	if err != nil {
		return nil, verdict.Wrap(verdict.Unrun, http.StatusBadRequest, "the body can't be read", err)
	}
	if len(body) > int(limits.Body) {
		return nil, verdict.New(verdict.Unrun, http.StatusRequestEntityTooLarge, "the body is longer than the configuration allows")
	}
	return body, nil
}

// unread returns the answer to a request whose head can't be read.
func (c *conn) unread(err error) *verdict.Error {
	switch {
	case c.limited.N <= 0:
		return verdict.New(verdict.Unrun, http.StatusRequestHeaderFieldsTooLarge, "the headers are longer than the configuration allows")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.Unrun, http.StatusRequestTimeout, "the headers did not arrive in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return nil
	}
	var broken *net.OpError
	if errors.As(err, &broken) {
		return nil
	}
	return verdict.Wrap(verdict.Unrun, http.StatusBadRequest, "the request is not HTTP/1.1", err)
}

// refuse answers a request that could not be read and ends the connection.
func (c *conn) refuse(e *verdict.Error) {
	if e == nil {
		return
	}
	if !c.enter() {
		return
	}
	t := &turn{err: e, last: true, done: make(chan struct{})}
	close(t.done)
	c.turns <- t
}

// write sends the answers in the order of their requests.
func (c *conn) write(gone func()) {
	w := bufio.NewWriterSize(c.net, bufferSize)
	ended := false
	for t := range c.turns {
		if ended {
			continue
		}
		if err := c.writeTurn(w, t); err != nil || t.last {
			ended = true
			gone()
			_ = c.net.SetReadDeadline(time.Now().Add(linger))
		}
	}
}

func (c *conn) writeTurn(w *bufio.Writer, t *turn) error {
	if t.interim {
		_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		return w.Flush()
	}
	<-t.done
	c.leave(t)
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.response(t).Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// response builds the HTTP answer of a turn.
func (c *conn) response(t *turn) *http.Response {
	a := t.answer
	header := http.Header(a.Header)
	var e *verdict.Error
	if errors.As(t.err, &e) {
		a = request.Answer{Status: e.Status, Body: []byte(e.Reason + "\n")}
		header = c.door.Dialect.Refusal(t.arrival, e)
	}
	if header == nil {
		header = http.Header{}
	}
	length := int64(len(a.Body))
	if t.request != nil && t.request.Method == http.MethodHead {
		if n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
			length = n
		}
	}
	header.Del("Content-Length")
	return &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Request: t.request,
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: length, Close: t.last,
	}
}
