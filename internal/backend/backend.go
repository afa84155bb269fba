// Package backend speaks HTTP/1.1 to a backend server over one connection that
// never resends a request.
//
// # Usage
//
//	conn := backend.New(tcpConn)
//	answer, sent, err := conn.Exchange(ctx, request)
//	if err != nil && !sent {
//		// The backend server has not seen a byte of the request.
//	}
//
// net/http's own Transport repeats requests on a reused connection when it takes
// them for idempotent, so this package uses its message reader and writer only.
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
)

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 1 << 20

// ErrClosed means that the connection ended before a request began on it.
var ErrClosed = errorx.ExternalError.New("the backend server closed the connection")

// Conn is one connection to a backend server. One exchange runs on it at a time.
type Conn struct {
	// Match decides whether an answer belongs to the request of the exchange; others
	// are passed over. It must be set before Exchange; nil accepts all.
	Match func(*http.Response) bool

	netConn     net.Conn
	reader      *bufio.Reader
	headerLimit *io.LimitedReader
	closed      chan struct{}

	mu       sync.Mutex
	exchange *exchange
	// spent is set when the connection must not serve another exchange.
	unusable bool
}

// exchange is one request and its answer.
type exchange struct {
	request *http.Request
	answers chan result
	// over is closed when the answer's body was read or given up.
	done chan struct{}
	once sync.Once
	// reuse is set before over is closed when the connection can serve again.
	reusable bool
	sent     atomic.Bool
	// read is set when the whole body of the request was taken from its source.
	bodyRead atomic.Bool
	writeErr chan error
}

type result struct {
	answer *http.Response
	err    error
}

// New starts to use an open connection.
func New(c net.Conn) *Conn {
	headerLimit := &io.LimitedReader{R: c, N: maxHeaderBytes}
	conn := &Conn{netConn: c, headerLimit: headerLimit, reader: bufio.NewReader(headerLimit), closed: make(chan struct{})}
	go conn.readLoop()
	return conn
}

// Dial opens a connection over TCP.
func Dial(ctx context.Context, addr ids.Address) (*Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, errorx.Decorate(err, "connect to backend server %s", addr)
	}
	return New(c), nil
}

// Close ends the connection.
func (c *Conn) Close() error { return c.netConn.Close() }

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// run is the task of the connection: it waits for the first byte of each answer,
// and notices at once when the backend server closes an idle connection.
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

// readAnswer reads the head of the final answer and passes over interim ones.
func (c *Conn) readAnswer(req *http.Request) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, errorx.Decorate(err, "read answer")
		}
		if answer.StatusCode == http.StatusSwitchingProtocols {
			return nil, errorx.IllegalFormat.New("backend server switched protocols unasked")
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		c.headerLimit.N = 1<<63 - 1
		if c.Match == nil || c.Match(answer) {
			return answer, nil
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, errorx.Decorate(err, "read an answer to another request")
		}
		if answer.Close {
			return nil, errorx.IllegalFormat.New("backend server answered another request and closed")
		}
		c.headerLimit.N = maxHeaderBytes
	}
}

func (c *Conn) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

func (c *Conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Closed() || c.unusable || c.exchange != nil {
		return false
	}
	c.exchange = x
	return true
}

// end gives the connection back to its task. Only the first call counts.
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

// Exchange sends a request and returns the answer. It reports whether a byte of
// the request may have reached the backend server. The caller must close the
// answer's body; the connection can be used again when Reusable says so.
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

// wait returns the answer, or why there is none.
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

// last returns the answer that came just before the connection closed, if any.
func (c *Conn) pendingAnswer(x *exchange) result {
	select {
	case r := <-x.answers:
		return r
	default:
		return result{err: ErrClosed}
	}
}

// write sends the request while the task reads the answer, because a backend
// server may answer before it has read the whole body.
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

// sentWriter notes that bytes may have left before they do.
type sentWriter struct {
	conn net.Conn
	sent *atomic.Bool
}

// Write implements io.Writer.
func (w *sentWriter) Write(p []byte) (int, error) {
	w.sent.Store(true)
	return w.conn.Write(p)
}

// Reusable reports whether the connection is open and no exchange runs on it.
func (c *Conn) Reusable() bool {
	if c.Closed() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange == nil && !c.unusable
}
