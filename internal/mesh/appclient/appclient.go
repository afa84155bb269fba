// Package appclient sends requests to the backend server of this VM over persistent
// connections and reads complete answers.
//
// # Usage
//
//	c := appclient.Client{Address: address, Dialect: dialect, Clock: clock, Limits: settings.Answers}
//	switch o := c.Call(ctx, appclient.Call{Request: outbound, Target: target}).(type) { ... }
//
// It never sends a request twice. An answer is accepted only when it is complete, belongs to
// the request that was sent and is not longer than the limits.
package appclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/backend"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/allowance"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Dialect translates between plain values and the HTTP of the backend server.
type Dialect interface {
	// Request returns the HTTP request for a call. It names the target, so that another
	// backend server at the same address refuses it.
	Request(c Call) (*http.Request, error)
	// Matches reports whether the answer may belong to the request.
	Matches(o request.Outbound, r *http.Response) bool
	// Identifies reports whether the answer names the request that it belongs to.
	Identifies(r *http.Response) bool
	// Outcome returns the outcome that a complete answer stands for. Without a body, it is
	// Broken if the head alone shows that the answer is not usable.
	Outcome(r *http.Response, body []byte) outcome.Outcome
}

// Call is one request for a target.
type Call struct {
	Request request.Outbound
	Target  ids.Target
	// Timeout is how long the target may take, which the request tells it.
	Timeout time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
}

const (
	// maxIdle is how long a connection may have been idle to be used for any request.
	maxIdle = time.Second
	// maxIdleIdempotent is how long it may have been idle for requests that may run twice:
	// backend servers close idle connections after a few seconds, and some drop them
	// earlier without closing them.
	maxIdleIdempotent = 4 * time.Second
	// maxIdleConns is how many idle connections are kept open; backend servers usually
	// have fewer slots.
	maxIdleConns = 16
	// dialTimeout is for connecting to a process on the same VM.
	dialTimeout = 500 * time.Millisecond
	// firstBuffer is the room for an answer at first, in bytes; it doubles as needed.
	firstBuffer = 8 << 10
)

// Client holds the connections to one backend server. Its methods may be called from
// several goroutines.
type Client struct {
	Address ids.Address
	Dialect Dialect
	Clock   *timer.Timer
	// Limits bounds the answers, which are held in memory until they are complete.
	Limits settings.Answers

	reading allowance.Allowance
	mu      sync.Mutex
	idle    []idleConn
}

// idleConn is an idle connection.
type idleConn struct {
	conn  *backend.Conn
	since units.Instant
}

// Call sends the request and blocks until its outcome is known or the context ends.
func (c *Client) Call(ctx context.Context, call Call) outcome.Outcome {
	req, err := c.Dialect.Request(call)
	if err != nil {
		return outcome.Unrun{Detail: err.Error()}
	}
	conn, reused, err := c.conn(ctx, call.Idempotent)
	if err != nil {
		return outcome.Broken{Detail: err.Error()}
	}
	conn.Match = func(r *http.Response) bool { return c.Dialect.Matches(call.Request, r) }
	resp, sent, err := conn.Exchange(ctx, req)
	if err != nil {
		return outcome.Broken{Detail: err.Error(), Sent: sent}
	}
	if broken := c.rejectHead(resp, reused); broken != nil {
		_ = conn.Close()
		return broken
	}
	answer, err := c.readBody(resp.Body)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return outcome.Broken{Detail: "the answer was cut: " + err.Error(), Sent: true}
	}
	c.putIdle(conn)
	return c.Dialect.Outcome(resp, answer)
}

// rejectHead returns the outcome if the head shows that the answer is not usable, or nil. On a
// connection that was used before, an answer that names no request may be a late one to an
// earlier request, so it can't be taken as this request's, least of all as a refusal.
func (c *Client) rejectHead(r *http.Response, reused bool) outcome.Outcome {
	if reused && !c.Dialect.Identifies(r) {
		return outcome.Broken{Detail: "the answer on a reused connection names no request", Sent: true}
	}
	if broken, ok := c.Dialect.Outcome(r, nil).(outcome.Broken); ok {
		return broken
	}
	return nil
}

// readBody reads a body to its end, or returns an error when it exceeds the limit of one answer
// or there is no room for it beside those that are read at the same time.
func (c *Client) readBody(body io.Reader) ([]byte, error) {
	limits := c.Limits.OrDefault()
	var taken units.Bytes
	defer func() { c.reading.Return(taken) }()
	var read []byte
	for {
		if len(read) == cap(read) {
			grown := min(max(2*cap(read), firstBuffer), limits.One+1)
			more := units.Bytes(grown - cap(read))
			if !c.reading.Take(more, units.Bytes(limits.Total)) {
				return nil, errorx.RejectedOperation.New("the answers being read at once are longer than %d bytes", limits.Total)
			}
			taken += more
			read = append(make([]byte, 0, grown), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if len(read) > limits.One {
			return nil, errorx.RejectedOperation.New("the answer is longer than %d bytes", limits.One)
		}
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// conn returns the idle connection that was used last, or dials a new one. It also reports
// whether the connection was used before.
func (c *Client) conn(ctx context.Context, idempotent bool) (*backend.Conn, bool, error) {
	limit := maxIdle
	if idempotent {
		limit = maxIdleIdempotent
	}
	if conn, ok := c.popIdle(c.Clock.Now(), limit); ok {
		return conn, true, nil
	}
	ctx, cancel := c.Clock.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := backend.Dial(ctx, c.Address)
	return conn, false, err
}

// popIdle removes and returns the idle connection that was used last, unless it has been
// idle for longer than limit.
func (c *Client) popIdle(now units.Instant, limit time.Duration) (*backend.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		if now.Sub(last.since) > limit && last.conn.Reusable() {
			return nil, false
		}
		c.idle = c.idle[:len(c.idle)-1]
		if last.conn.Reusable() {
			return last.conn, true
		}
	}
	return nil, false
}

// putIdle keeps a connection open for later requests, and closes the oldest one if there
// are too many.
func (c *Client) putIdle(conn *backend.Conn) {
	if !conn.Reusable() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, idleConn{conn: conn, since: c.Clock.Now()})
	if len(c.idle) > maxIdleConns {
		_ = c.idle[0].conn.Close()
		c.idle = c.idle[1:]
	}
}

// CloseIdle closes the idle connections. It must be called when the backend server was
// replaced.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.conn.Close()
	}
	c.idle = nil
}
