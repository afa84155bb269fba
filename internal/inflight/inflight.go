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
func (f *Counter) Begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// End counts one less.
func (f *Counter) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closed && f.count == 0 {
		close(f.idle)
	}
}

// Close makes every later Begin report false.
func (f *Counter) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	f.idle = make(chan struct{})
	if f.count == 0 {
		close(f.idle)
	}
}

// Wait returns once nothing is in progress, or with the context's error. It must
// follow Close.
func (f *Counter) Wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns how many are in progress.
func (f *Counter) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
