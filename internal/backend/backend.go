// Package backend is an HTTP/1.1 client for one connection to a backend server. It
// never sends a request twice.
//
// # Usage
//
//	conn := backend.New(tcpConn)
//	answer, sent, err := conn.Exchange(ctx, request)
//	if err != nil && !sent {
//		// No byte of the request was sent; it is safe to use another connection.
//	}
//
// The Transport of net/http retries requests on a reused connection if it considers
// them idempotent, so this package uses only the message reader and writer of net/http.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/reset"
)

// maxHeaderBytes bounds the header of an answer, together with the interim answers
// before it. Short fields take several times their size in memory.
const maxHeaderBytes = 64 << 10

// Answers that Match rejects are skipped, in all at most maxSkipped before an answer and
// maxSkippedBytes of each body: a backend server may send them without end.
const (
	maxSkipped      = 4
	maxSkippedBytes = 1 << 20
)

// ErrClosed means that the connection ended before an answer, or can't take a request:
// it is closed, in use or not reusable.
var ErrClosed = errorx.ExternalError.New("the backend server closed the connection")

// Conn is one connection to a backend server. One exchange runs on it at a time. Its
// methods may be called concurrently.
type Conn struct {
	// Match reports whether an answer belongs to the request of the exchange; answers
	// that don't are skipped. It must be set before Exchange; nil matches all.
	Match func(*http.Response) bool

	netConn     net.Conn
	reader      *bufio.Reader
	headerLimit *io.LimitedReader
	closed      chan struct{}

	mu       sync.Mutex
	exchange *exchange
	// unusable is set when no further exchange may run on the connection.
	unusable bool
}

// exchange is one request and its answer.
type exchange struct {
	request *http.Request
	answers chan result
	// done is closed when the body of the answer was read or closed early, or the
	// exchange failed.
	done chan struct{}
	once sync.Once
	// reusable is set before done is closed if another exchange may follow.
	reusable bool
	// sent is set before the first byte of the request is written.
	sent atomic.Bool
	// bodyRead is set when the whole body of the request was read from the caller.
	bodyRead atomic.Bool
	// writeErr receives the result of writing the request.
	writeErr chan error
}

// result is an answer or the reason why there is none.
type result struct {
	answer *http.Response
	err    error
}

// New returns a Conn that uses and owns an open connection. It starts the goroutine that
// reads from it, which ends when the connection is closed.
func New(c net.Conn) *Conn {
	c = &reset.Conn{Conn: c}
	headerLimit := &io.LimitedReader{R: c, N: maxHeaderBytes}
	conn := &Conn{netConn: c, headerLimit: headerLimit, reader: bufio.NewReader(headerLimit), closed: make(chan struct{})}
	go conn.readLoop()
	return conn
}

// Dial opens a TCP connection to a backend server.
func Dial(ctx context.Context, addr ids.Address) (*Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, errorx.Decorate(err, "connect to backend server %s", addr)
	}
	return New(c), nil
}

// Close closes the connection. A running exchange fails.
func (c *Conn) Close() error { return c.netConn.Close() }

// Closed reports whether the connection was closed, by either side.
func (c *Conn) Closed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// readLoop reads the answers until the connection ends or can't be used again. While the
// connection is idle it waits for a byte, so that it notices at once when the backend
// server closes the connection. A byte without a request ends the connection.
func (c *Conn) readLoop() {
	defer close(c.closed)
	defer c.netConn.Close()
	for {
		c.headerLimit.N = maxHeaderBytes
		_, err := c.reader.Peek(1)
		x := c.currentExchange()
		if x == nil {
			return
		}
		if err != nil {
			x.answers <- result{err: errorx.Decorate(err, "wait for answer")}
			return
		}
		answer, err := c.readAnswer(x.request)
		x.answers <- result{answer: answer, err: err}
		if err != nil {
			return
		}
		<-x.done
		if !x.reusable {
			return
		}
	}
}

// readAnswer reads the head of the final answer. It skips interim answers, and answers
// that Match rejects.
func (c *Conn) readAnswer(req *http.Request) (*http.Response, error) {
	for skipped := 0; skipped <= maxSkipped; {
		answer, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		switch kindOf(answer.StatusCode) {
		case interim:
			continue
		case invalid:
			return nil, errorx.IllegalFormat.New("backend server answered with the status %03d", answer.StatusCode)
		}
		c.headerLimit.N = 1<<63 - 1
		if c.Match == nil || c.Match(answer) {
			return answer, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxSkippedBytes))
		if err != nil {
			return nil, errorx.Decorate(err, "read an answer to another request")
		}
		if n == maxSkippedBytes {
			return nil, errorx.IllegalFormat.New("backend server sent a long answer to another request")
		}
		if answer.Close {
			return nil, errorx.IllegalFormat.New("backend server answered another request and closed")
		}
		c.headerLimit.N = maxHeaderBytes
		skipped++
	}
	return nil, errorx.IllegalFormat.New("backend server sent %d answers to other requests", maxSkipped+1)
}

// statusKind is what the status of an answer makes of it.
type statusKind string

const (
	// final ends the exchange.
	final statusKind = "final"
	// interim precedes the answer.
	interim statusKind = "interim"
	// invalid is no status of an answer that HTTP defines, or one that was not asked for. What has it
	// is no answer, and where it ends is not certain.
	invalid statusKind = "invalid"
)

// kindOf returns the kind of a status.
func kindOf(status int) statusKind {
	switch {
	case IsFinal(status):
		return final
	case status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols:
		return interim
	default:
		return invalid
	}
}

// IsFinal reports whether the status is one of a final answer.
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

func (c *Conn) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// begin starts an exchange. It returns false if the connection can't take one.
func (c *Conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Closed() || c.unusable || c.exchange != nil {
		return false
	}
	c.exchange = x
	return true
}

// end ends an exchange, and closes the connection unless it can be reused. Only the
// first call for an exchange counts.
func (c *Conn) end(x *exchange, reuse bool) {
	x.once.Do(func() {
		c.mu.Lock()
		c.exchange = nil
		c.unusable = c.unusable || !reuse
		c.mu.Unlock()
		x.reusable = reuse
		close(x.done)
		if !reuse {
			_ = c.netConn.Close()
		}
	})
}

// Exchange sends a request and blocks until the head of the answer arrives or the
// context ends. It reports whether a byte of the request may have reached the backend
// server. The caller must close the body of the answer; afterwards Reusable reports
// whether the connection can be used again. If the context ends before that, the
// connection is closed.
func (c *Conn) Exchange(ctx context.Context, req *http.Request) (*http.Response, bool, error) {
	x := &exchange{request: req, answers: make(chan result, 1), done: make(chan struct{}), writeErr: make(chan error, 1)}
	if !c.begin(x) {
		return nil, false, ErrClosed
	}
	stop := context.AfterFunc(ctx, func() { c.end(x, false) })
	if req.Body == nil {
		x.bodyRead.Store(true)
		c.writeRequest(x)
	} else {
		req.Body = &requestBody{ReadCloser: req.Body, exchange: x}
		go c.writeRequest(x)
	}
	r := c.awaitAnswer(ctx, x)
	if r.err != nil {
		stop()
		c.end(x, false)
		return nil, x.sent.Load(), r.err
	}
	r.answer.Body = &answerBody{conn: c, exchange: x, inner: r.answer.Body, stop: stop, closeAfter: r.answer.Close}
	return r.answer, true, nil
}

// awaitAnswer blocks until the answer arrives, the connection closes or the context
// ends.
func (c *Conn) awaitAnswer(ctx context.Context, x *exchange) result {
	select {
	case r := <-x.answers:
		return r
	case <-c.closed:
		return c.pendingAnswer(x)
	case <-ctx.Done():
		return result{err: ctx.Err()}
	}
}

// pendingAnswer returns the answer that arrived just before the connection closed, or
// ErrClosed.
func (c *Conn) pendingAnswer(x *exchange) result {
	select {
	case r := <-x.answers:
		return r
	default:
		return result{err: ErrClosed}
	}
}

// writeRequest writes the request and closes the connection on an error. For a request
// with a body it runs concurrently with reading the answer, because a backend server
// may answer before it has read the whole body.
func (c *Conn) writeRequest(x *exchange) {
	w := &sentWriter{conn: c.netConn, sent: &x.sent}
	buffered := bufio.NewWriter(w)
	err := x.request.Write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	x.writeErr <- err
	if err != nil {
		c.end(x, false)
	}
}

// sentWriter marks the request as sent before its bytes are written, because a failed
// write may have sent some of them.
type sentWriter struct {
	conn net.Conn
	sent *atomic.Bool
}

// Write implements io.Writer.
func (w *sentWriter) Write(p []byte) (int, error) {
	w.sent.Store(true)
	return w.conn.Write(p)
}

// Reusable reports whether Exchange may be called: the connection is open, no exchange
// runs on it, and the last one left it in a usable state.
func (c *Conn) Reusable() bool {
	if c.Closed() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == nil && !c.unusable
}
