// Package appclient sends requests to the backend server of this VM over persistent
// connections and reads complete answers.
//
// # Usage
//
//	c := appclient.Client{Address: address, Dialect: dialect}
//	switch o := c.Call(ctx, appclient.Call{Request: outbound, Target: target}).(type) { ... }
//
// It never sends a request twice. An answer is accepted only when it is complete and
// belongs to the request that was sent.
package appclient

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/backend"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Dialect translates between plain values and the HTTP of the backend server.
type Dialect interface {
	// Request returns the HTTP request for a call. It names the target, so that another
	// backend server at the same address refuses it.
	Request(c Call) (*http.Request, error)
	// Matches reports whether the answer belongs to the request.
	Matches(o request.Outbound, r *http.Response) bool
	// Outcome returns the outcome that a complete answer stands for.
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
	// maxAnswerBytes bounds an answer, which is held in memory.
	maxAnswerBytes = 64 << 20
)

// Client holds the connections to one backend server. Its methods may be called from
// several goroutines.
type Client struct {
	Address ids.Address
	Dialect Dialect
	Clock   *timer.Timer

	mu   sync.Mutex
	idle []idleConn
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
	conn, err := c.conn(ctx, call.Idempotent)
	if err != nil {
		return outcome.Broken{Detail: err.Error()}
	}
	conn.Match = func(r *http.Response) bool { return c.Dialect.Matches(call.Request, r) }
	resp, sent, err := conn.Exchange(ctx, req)
	if err != nil {
		return outcome.Broken{Detail: err.Error(), Sent: sent}
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return outcome.Broken{Detail: "the answer was cut: " + err.Error(), Sent: true}
	}
	c.putIdle(conn)
	return c.Dialect.Outcome(resp, answer)
}

// conn returns the idle connection that was used last, or dials a new one.
func (c *Client) conn(ctx context.Context, idempotent bool) (*backend.Conn, error) {
	limit := maxIdle
	if idempotent {
		limit = maxIdleIdempotent
	}
	if conn, ok := c.popIdle(c.Clock.Now(), limit); ok {
		return conn, nil
	}
	ctx, cancel := c.Clock.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return backend.Dial(ctx, c.Address)
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
