// Package inflight counts the requests in progress and waits for their end.
//
// # Usage
//
//	if !f.Begin() {
//		return errLeaving // closed
//	}
//	defer f.End()
//
//	f.Close()            // Begin is false from now on
//	err := f.Wait(ctx)   // until every Begin had its End
package inflight

import (
	"context"
	"sync"
)

// Counter counts what is in progress. The zero value is open and counts none.
type Counter struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is closed when nothing is in progress after Close.
	idle chan struct{}
}

// Begin counts one more, or reports false after Close.
func (c *Counter) Begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.count++
	return true
}

// End counts one less.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.closed && c.count == 0 {
		close(c.idle)
	}
}

// Close makes every later Begin report false.
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

// Wait returns once nothing is in progress, or with the context's error. It must
// follow Close.
func (c *Counter) Wait(ctx context.Context) error {
	select {
	case <-c.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns how many are in progress.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}
