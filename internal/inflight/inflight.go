// Package inflight counts the requests in progress, so that a shutdown can wait for
// their end.
//
// # Usage
//
//	if !f.Begin() {
//		return errLeaving // closed
//	}
//	defer f.End()
//
//	f.Close()            // Begin returns false from now on
//	err := f.Wait(ctx)   // blocks until each Begin has its End
package inflight

import (
	"context"
	"sync"
)

// Counter counts the requests in progress. The zero value is open and counts none. Its
// methods may be called concurrently.
type Counter struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is made by Close and closed when nothing is in progress any more.
	idle chan struct{}
}

// Begin counts the start of a request. After Close it returns false and counts nothing.
func (c *Counter) Begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.count++
	return true
}

// End counts the end of a request. It is called once for each Begin that returned true.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.closed && c.count == 0 {
		close(c.idle)
	}
}

// Close makes every later Begin return false. It doesn't wait.
func (c *Counter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.idle = make(chan struct{})
	if c.count == 0 {
		close(c.idle)
	}
}

// Wait blocks until nothing is in progress, or returns the context's error. It must be
// called after Close.
func (c *Counter) Wait(ctx context.Context) error {
	select {
	case <-c.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns the number of requests in progress.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
