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
	"balsamwharf.example/balsamwharf/internal/mesh/body"
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
	Outcome(r *http.Response, b body.Body) outcome.Outcome
	// CheckRequest returns the HTTP request of a health check.
	CheckRequest(path string, at ids.Address) *http.Request
	// CheckResult returns what the answer to a health check says. It is false if the answer says
	// nothing.
	CheckResult(r *http.Response) (Check, bool)
}

// Check is what a backend server says of itself in a health check.
type Check struct {
	Target ids.Target
	// WarmUp is how much longer it stays cold.
	WarmUp time.Duration
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
	// maxCheckBytes bounds the body of an answer to a health check.
	maxCheckBytes = 64 << 10
	// dialTimeout is for connecting to a process on the same VM.
	dialTimeout = 500 * time.Millisecond
)

// Client holds the connections to one backend server. Its methods may be called from
// several goroutines.
type Client struct {
	Address ids.Address
	Dialect Dialect
	Clock   *timer.Timer
	// Limits bounds the answers, which are held in memory until they are complete.
	Limits settings.Answers

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
	answer, err := c.readBody(resp, call)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return outcome.Broken{Detail: "the answer was cut: " + err.Error(), Sent: true}
	}
	c.putIdle(conn)
	return c.Dialect.Outcome(resp, answer)
}

// Check sends a health check and blocks until it is answered or the context ends.
func (c *Client) Check(ctx context.Context, path string) (Check, error) {
	conn, _, err := c.conn(ctx, true)
	if err != nil {
		return Check{}, err
	}
	conn.Match = func(r *http.Response) bool { return !c.Dialect.Identifies(r) }
	resp, _, err := conn.Exchange(ctx, c.Dialect.CheckRequest(path, c.Address))
	if err != nil {
		return Check{}, err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxCheckBytes))
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return Check{}, err
	}
	c.putIdle(conn)
	check, ok := c.Dialect.CheckResult(resp)
	if !ok {
		return Check{}, errorx.IllegalFormat.New("the answer to the health check was %s", resp.Status)
	}
	return check, nil
}

// rejectHead returns the outcome if the head shows that the answer is not usable, or nil. On a
// connection that was used before, an answer that names no request may be a late one to an
// earlier request, so it can't be taken as this request's, least of all as a refusal.
func (c *Client) rejectHead(r *http.Response, reused bool) outcome.Outcome {
	if reused && !c.Dialect.Identifies(r) {
		return outcome.Broken{Detail: "the answer on a reused connection names no request", Sent: true}
	}
	if broken, ok := c.Dialect.Outcome(r, body.Body{}).(outcome.Broken); ok {
		return broken
	}
	return nil
}

// readBody reads the body of an answer to its end, or returns an error when it exceeds the limit of
// one answer or there is no room for it beside the others that the daemon holds.
func (c *Client) readBody(r *http.Response, call Call) (body.Body, error) {
	length := units.Bytes(r.ContentLength)
	if call.Request.Method == http.MethodHead || length < 0 {
		length = body.Unknown
	}
	return body.Read(r.Body, length, units.Bytes(c.Limits.OrDefault().One), call.Request.Answers)
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
