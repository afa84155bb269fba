// Package appclient hands requests to the backend server of this VM over kept
// connections and reads whole answers.
//
// # Usage
//
//	c := appclient.Client{Address: address, Dialect: dialect}
//	switch o := c.Call(ctx, appclient.Call{Order: order, Target: target}).(type) { ... }
//
// It never sends a request twice. An answer counts only when it is whole and answers
// the request that was sent.
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

// Dialect translates between plain values and what the backend server speaks.
type Dialect interface {
	// Request returns the HTTP request for an order. The target that is named does
	// not run it if it is another one.
	Request(c Call) (*http.Request, error)
	// Matches reports whether the answer belongs to the order.
	Matches(o request.Outbound, r *http.Response) bool
	// Outcome returns what a whole answer says.
	Outcome(r *http.Response, body []byte) outcome.Outcome
}

// Call is one request for a target.
type Call struct {
	Request request.Outbound
	Target  ids.Target
	// Timeout is the time that the target may take.
	Timeout time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
}

const (
	// maxIdle is how long an unused connection serves any request.
	maxIdle = time.Second
	// maxIdleIdempotent is how long it serves requests that may run twice: backend servers
	// close idle connections after some seconds, and some forget them earlier.
	maxIdleIdempotent = 4 * time.Second
	// maxIdleConns is how many unused connections are kept, beyond the usual slots.
	maxIdleConns = 16
	// dialTimeout is for a connection to a process on the same VM.
	dialTimeout = 500 * time.Millisecond
	// maxAnswerBytes bounds the answer that is held in memory.
	maxAnswerBytes = 64 << 20
)

// Client holds the connections to one backend server.
type Client struct {
	Address ids.Address
	Dialect Dialect
	Clock   *timer.Timer

	mu   sync.Mutex
	idle []idleConn
}

// idleConn is an unused connection.
type idleConn struct {
	conn  *backend.Conn
	since units.Instant
}

// Call sends the order and returns what became of it.
func (c *Client) Call(ctx context.Context, call Call) outcome.Outcome {
	req, err := c.Dialect.Request(call)
	if err != nil {
		return outcome.Unrun{Detail: err.Error()}
	}
	conn, err := c.conn(ctx, call.Idempotent)
	if err != nil {
		return outcome.Broken{Detail: err.Error()}
	}
	conn.Accept = func(r *http.Response) bool { return c.Dialect.Matches(call.Request, r) }
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

// conn returns the connection that was used last, or a new one.
func (c *Client) conn(ctx context.Context, idempotent bool) (*backend.Conn, error) {
	limit := maxIdle
	if idempotent {
		limit = maxIdleIdempotent
	}
	if conn, ok := c.popIdle(c.Clock.Now(), limit); ok {
		return conn, nil
	}
	ctx, cancel := c.Clock.Within(ctx, dialTimeout)
	defer cancel()
	return backend.Dial(ctx, c.Address)
}

func (c *Client) popIdle(now units.Instant, limit time.Duration) (*backend.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		if now.Sub(last.since) > limit && last.conn.Free() {
			return nil, false
		}
		c.idle = c.idle[:len(c.idle)-1]
		if last.conn.Free() {
			return last.conn, true
		}
	}
	return nil, false
}

func (c *Client) putIdle(conn *backend.Conn) {
	if !conn.Free() {
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

// CloseIdle closes the unused connections, because the backend server changed.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.conn.Close()
	}
	c.idle = nil
}
