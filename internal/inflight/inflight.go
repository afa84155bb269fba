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

// Inflight counts what is in progress. The zero value is open and counts none.
type Inflight struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is closed when nothing is in progress after Close.
	idle chan struct{}
}

// Begin counts one more, or reports false after Close.
func (f *Inflight) Begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

// End counts one less.
func (f *Inflight) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closed && f.count == 0 {
		close(f.idle)
	}
}

// Close makes every later Begin report false.
func (f *Inflight) Close() {
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
func (f *Inflight) Wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns how many are in progress.
func (f *Inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
