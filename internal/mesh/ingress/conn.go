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
	// maxPipelined is how many requests of one connection may run at once.
	maxPipelined = 64
	// writeTimeout is for a caller that does not read its answer.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long the other side's close is waited for after the last answer:
	// closing with unread bytes would reset the connection and lose the answer.
	lingerTimeout = 300 * time.Millisecond
	// requestLineBytes is what the first line may take beyond the headers' limit.
	requestLineBytes = 1 << 10
	bufferSize       = 4 << 10
)

// conn is one caller's connection.
type conn struct {
	ingress *Ingress
	net     net.Conn
	limited *io.LimitedReader
	reader  *bufio.Reader
	pending chan *exchange
	mu      sync.Mutex
	// inFlight counts the requests that were read and not yet answered.
	inFlight int
	// closing is set when the answer that ends the connection was chosen.
	closing bool
	// closeRequested is set when the door wants an idle connection to end.
	closeRequested atomic.Bool
}

// exchange is one answer's place in the order of a connection.
type exchange struct {
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
	return &conn{ingress: d, net: c, limited: limited, reader: bufio.NewReaderSize(limited, bufferSize), pending: make(chan *exchange, maxPipelined)}
}

// beginRequest counts a request that was read; it is false when the connection is about to
// end, so that the request counts as unread.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.inFlight++
	return true
}

// endRequest counts an answer and makes it the last one if nothing else is in flight and
// the daemon leaves.
func (c *conn) endRequest(t *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 && c.ingress.draining.Load() {
		t.last = true
	}
	c.closing = c.closing || t.last
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight == 0
}

// closeWhenIdle makes an idle connection end.
func (c *conn) closeWhenIdle() {
	c.closeRequested.Store(true)
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
	for c.readNext(ctx) {
	}
	close(c.pending)
	c.awaitWriter(gone, written)
}

// awaitWriter waits until the last answer is written, and ends the work early for a caller
// that closes.
func (c *conn) awaitWriter(gone func(), written <-chan struct{}) {
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
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-closed
}

// readNext reads one request and starts it; it is false when no other one is read.
func (c *conn) readNext(ctx context.Context) bool {
	limits := c.ingress.limits()
	if !c.awaitRequest(limits) {
		return false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limited.N = max(int64(limits.Header)+requestLineBytes-int64(c.reader.Buffered()), 0)
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		c.refuse(c.readError(err))
		return false
	}
	if !c.beginRequest() {
		return false
	}
	t := &exchange{request: r, done: make(chan struct{})}
	body, refusal := c.readBody(r, limits)
	if refusal != nil {
		t.arrival = c.ingress.Dialect.Inbound(r, nil)
		t.err, t.last = refusal, true
		close(t.done)
		c.pending <- t
		return false
	}
	_ = c.net.SetReadDeadline(time.Time{})
	t.arrival = c.ingress.Dialect.Inbound(r, body)
	last := r.Close || c.ingress.draining.Load()
	t.last = last
	c.pending <- t
	go c.run(ctx, t)
	return !last
}

// run serves one request.
func (c *conn) run(ctx context.Context, t *exchange) {
	defer close(t.done)
	t.answer, t.err = c.ingress.router.Serve(ctx, t.arrival)
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits policy.Limits) bool {
	for {
		if c.closeRequested.Load() && c.idle() && c.reader.Buffered() == 0 {
			return false
		}
		c.limited.N = 1 << 62
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if c.closeRequested.Load() {
			_ = c.net.SetReadDeadline(time.Now().Add(closePoll))
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if c.idle() && !c.closeRequested.Load() {
			return false
		}
	}
}

// closePoll is how often a connection that is to end looks whether it may.
const closePoll = 50 * time.Millisecond

// readBody reads the whole readBody of a request.
func (c *conn) readBody(r *http.Request, limits policy.Limits) ([]byte, *verdict.Error) {
	if r.ContentLength > int64(limits.Body) {
		return nil, verdict.New(verdict.Unrun, http.StatusRequestEntityTooLarge, "the body is longer than the configuration allows")
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.Header.Get("Expect") != "" {
		c.pending <- &exchange{interim: true}
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

// readError returns the answer to a request whose head can't be read.
func (c *conn) readError(err error) *verdict.Error {
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
	if !c.beginRequest() {
		return
	}
	t := &exchange{err: e, last: true, done: make(chan struct{})}
	close(t.done)
	c.pending <- t
}

// write sends the answers in the order of their requests.
func (c *conn) write(gone func()) {
	w := bufio.NewWriterSize(c.net, bufferSize)
	ended := false
	for t := range c.pending {
		if ended {
			continue
		}
		if err := c.writeAnswer(w, t); err != nil || t.last {
			ended = true
			gone()
			_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		}
	}
}

func (c *conn) writeAnswer(w *bufio.Writer, t *exchange) error {
	if t.interim {
		_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		return w.Flush()
	}
	<-t.done
	c.endRequest(t)
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.response(t).Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// response builds the HTTP answer of a turn.
func (c *conn) response(t *exchange) *http.Response {
	a := t.answer
	header := http.Header(a.Header)
	var e *verdict.Error
	if errors.As(t.err, &e) {
		a = request.Answer{Status: e.Status, Body: []byte(e.Reason + "\n")}
		header = c.ingress.Dialect.Refusal(t.arrival, e)
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
