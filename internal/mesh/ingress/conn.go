package ingress

import (
	"bufio"
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

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/mesh/hold"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// maxPipelined is how many requests of one connection may wait for their answers.
	maxPipelined = 64
	// writeTimeout bounds the write of one answer to a caller that does not read it.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long to wait for the caller to close after the last answer:
	// closing with unread bytes would reset the connection and lose the answer.
	lingerTimeout = 300 * time.Millisecond
	// requestLineBytes is what the request line may take beyond the limit of the headers.
	requestLineBytes = 1 << 10
	bufferSize       = 4 << 10
	// rejectLinger is how long to go on reading a body that was rejected, since many callers read
	// the answer only when they have sent it.
	rejectLinger = 2 * time.Second
	// noRoomRetryAfter is how long the caller of a body without room is told to wait: about as long
	// as another large body takes to be sent and answered.
	noRoomRetryAfter = time.Second
	// stoppingRetryAfter is how long the caller of a daemon that stops is told to wait: about until
	// its next process serves.
	stoppingRetryAfter = time.Second
)

// conn is the connection of one caller.
type conn struct {
	ingress *Ingress
	net     net.Conn
	limited *io.LimitedReader
	reader  *bufio.Reader
	pending chan *exchange
	mu      sync.Mutex
	// inFlight counts the requests that were read and not yet answered.
	inFlight int
	// closing is set once the answer after which the connection ends is determined.
	closing bool
	// closeRequested is set when the connection is to end as soon as it is idle.
	closeRequested atomic.Bool
	// rejected is set when the rest of a body is not wanted.
	rejected atomic.Bool
}

// exchange is one request of a connection and its answer. Answers are written in the order
// of the requests.
type exchange struct {
	request *http.Request
	inbound request.Inbound
	done    chan struct{}
	answer  request.Answer
	err     error
	// interim is set when only the interim answer 100 Continue is to be written.
	interim bool
	// last is set when the connection ends after this answer.
	last bool
	// requests and answers hold the memory of the bodies until the request has ended and its answer
	// is written or dropped; users counts which of both are to come.
	requests, answers *hold.Hold
	users             atomic.Int32
}

// newExchange returns the exchange of a request.
func (c *conn) newExchange(r *http.Request) *exchange {
	x := &exchange{request: r, done: make(chan struct{}), requests: c.ingress.memory.Requests(), answers: c.ingress.memory.Answers()}
	x.users.Store(1)
	return x
}

// leave releases the memory of the exchange when nobody uses it any more.
func (x *exchange) leave() {
	if x.users.Add(-1) == 0 {
		x.requests.Release()
		x.answers.Release()
	}
}

func newConn(i *Ingress, c net.Conn) *conn {
	limited := &io.LimitedReader{R: c}
	return &conn{ingress: i, net: c, limited: limited, reader: bufio.NewReaderSize(limited, bufferSize), pending: make(chan *exchange, maxPipelined)}
}

// beginRequest counts a request that was read. It returns false when the connection is
// about to end; then the request is treated as if it had not been read.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.inFlight++
	return true
}

// endRequest counts an answer. The answer becomes the last one of the connection if no
// other request is in flight and the daemon is draining.
func (c *conn) endRequest(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight == 0 && c.ingress.draining.Load() {
		x.last = true
	}
	c.closing = c.closing || x.last
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight == 0
}

// closeWhenIdle ends the connection as soon as it is idle. It does not wait for that.
func (c *conn) closeWhenIdle() {
	c.closeRequested.Store(true)
	if c.idle() {
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// serve reads requests until the caller disconnects or the connection ends. It returns
// when the last answer is written and the connection closed.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	cancelAll := func() { cancel(request.ErrCallerLeft) }
	defer cancelAll()
	defer c.net.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(cancelAll)
	}()
	for c.readNext(ctx) {
	}
	close(c.pending)
	c.awaitWriter(cancelAll, written)
}

// awaitWriter waits until the last answer is written, and cancels the requests in flight
// when the caller closes the connection before.
func (c *conn) awaitWriter(cancelAll func(), written <-chan struct{}) {
	closed := make(chan struct{})
	_ = c.net.SetReadDeadline(time.Time{})
	go func() {
		defer close(closed)
		c.limited.N = 1 << 62
		_, err := io.Copy(io.Discard, c.reader)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			cancelAll()
		}
	}()
	<-written
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.net.SetReadDeadline(time.Now().Add(c.linger()))
	<-closed
}

// readNext reads one request and starts it. It returns false when no more requests are to
// be read from the connection.
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
	x := c.newExchange(r)
	refusal := c.ingress.Dialect.Reject(r)
	var read body.Body
	if refusal == nil {
		read, refusal = c.readBody(x, limits)
	}
	if refusal == nil && c.closeRequested.Load() {
		refusal = verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the daemon is stopping").After(stoppingRetryAfter)
	}
	if refusal != nil {
		x.requests.Release()
		x.inbound = c.ingress.Dialect.Inbound(r, body.Body{})
		c.logRejected(x.inbound.ID, refusal)
		x.err, x.last = refusal, true
		close(x.done)
		c.pending <- x
		return false
	}
	_ = c.net.SetReadDeadline(time.Time{})
	x.inbound = c.ingress.Dialect.Inbound(r, read)
	x.inbound.Answers = x.answers
	x.users.Add(1)
	last := r.Close || c.ingress.draining.Load()
	x.last = last
	c.pending <- x
	go c.run(ctx, x)
	return !last
}

// run serves one request and marks its exchange done.
func (c *conn) run(ctx context.Context, x *exchange) {
	defer x.leave()
	defer close(x.done)
	x.answer, x.err = c.ingress.router.Serve(ctx, x.inbound)
}

// awaitRequest waits for the first byte of a request. It returns false when the connection
// was idle for too long, failed, or is to end. Requests that arrive while it is to end are left
// unread: a target might still be at work on them when the process ends, and callers may send
// unread ones again.
func (c *conn) awaitRequest(limits policy.Limits) bool {
	for !c.closeRequested.Load() {
		c.limited.N = 1 << 62
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if c.closeRequested.Load() {
			// closeWhenIdle may have set an earlier deadline in between.
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return !c.closeRequested.Load()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.idle() {
			return false
		}
	}
	return false
}

// readBody reads the complete body of a request, or returns the error to answer with.
func (c *conn) readBody(x *exchange, limits policy.Limits) (body.Body, *verdict.Error) {
	r, length := x.request, units.Bytes(x.request.ContentLength)
	if length == 0 {
		return body.Body{}, nil
	}
	if r.Header.Get("Expect") != "" && length <= limits.Body && x.requests.Fits(length) {
		interim := &exchange{interim: true}
		interim.users.Store(1)
		c.pending <- interim
	}
	c.limited.N = 1 << 62
	_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	read, err := body.Read(r.Body, max(length, body.Unknown), limits.Body, x.requests)
	switch {
	case err == nil:
		return read, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return body.Body{}, verdict.New(verdict.Unrun, http.StatusRequestTimeout, "the body did not arrive in time")
	case errorx.IsOfType(err, body.TooLong):
		c.rejected.Store(true)
		return body.Body{}, verdict.New(verdict.Unrun, http.StatusRequestEntityTooLarge, "the body is longer than the configuration allows")
	case errorx.IsOfType(err, body.NoRoom):
		c.rejected.Store(true)
		return body.Body{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the daemon has no memory left for the body").After(noRoomRetryAfter)
	default:
		return body.Body{}, verdict.Wrap(verdict.Unrun, http.StatusBadRequest, "the body can't be read", err)
	}
}

// readError returns the error to answer a request with whose headers could not be read, or
// nil if the connection ended.
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

// refuse answers a request that could not be read, if e is not nil, and ends the
// connection.
func (c *conn) refuse(e *verdict.Error) {
	if e == nil {
		return
	}
	if !c.beginRequest() {
		return
	}
	c.logRejected("", e)
	x := c.newExchange(nil)
	x.err, x.last = e, true
	close(x.done)
	c.pending <- x
}

// logRejected writes a log line for a request that was refused while it was read. Its id is empty
// if its head could not be read.
func (c *conn) logRejected(id ids.Call, e *verdict.Error) {
	c.ingress.Common.Info(event.RequestRejected, zap.String("id", string(id)), zap.Int("status", e.Status), zap.String("reason", e.Reason))
}

// write writes the answers in the order of their requests. After the last answer or a
// failed write it cancels the requests in flight.
func (c *conn) write(cancelAll func()) {
	w := bufio.NewWriterSize(c.net, bufferSize)
	ended := false
	for x := range c.pending {
		if !ended {
			if err := c.writeAnswer(w, x); err != nil || x.last {
				ended = true
				cancelAll()
				_ = c.net.SetReadDeadline(time.Now().Add(c.linger()))
			}
		}
		x.leave()
	}
}

// linger returns how long to wait for the caller to close.
func (c *conn) linger() time.Duration {
	if c.rejected.Load() {
		return rejectLinger
	}
	return lingerTimeout
}

// writeAnswer waits until the exchange is done and writes its answer.
func (c *conn) writeAnswer(w *bufio.Writer, x *exchange) error {
	if x.interim {
		_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
		return w.Flush()
	}
	<-x.done
	c.endRequest(x)
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.response(x).Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// response builds the HTTP response of an exchange.
func (c *conn) response(x *exchange) *http.Response {
	a := x.answer
	header := http.Header(a.Header)
	var e *verdict.Error
	if errors.As(x.err, &e) {
		a = request.Answer{Status: e.Status, Body: body.Of([]byte(e.Reason + "\n"))}
		header = c.ingress.Dialect.Refusal(x.inbound, e)
	}
	if header == nil {
		header = http.Header{}
	}
	length := int64(a.Body.Len())
	if x.request != nil && x.request.Method == http.MethodHead {
		if n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
			length = n
		}
	}
	header.Del("Content-Length")
	return &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Request: x.request,
		Body: io.NopCloser(a.Body.Reader()), ContentLength: length, Close: x.last,
	}
}
