// Package pool keeps idle values, such as connections, for reuse.
//
// # Usage
//
//	p := pool.Pool[*backend.Conn]{Limit: 8}
//	c, ok := p.Get()
//	if !p.Put(c) {
//		c.Close() // the pool is full or closed
//	}
package pool

import "sync"

// Pool holds idle values. The last one put is reused first. Its methods may be called
// concurrently.
type Pool[T any] struct {
	// Limit is the maximum number of idle values; zero keeps none.
	Limit int

	mu     sync.Mutex
	idle   []T
	closed bool
}

// Get removes and returns the value that was put last, or false if there is none.
func (p *Pool[T]) Get() (T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var none T
	if len(p.idle) == 0 {
		return none, false
	}
	last := len(p.idle) - 1
	v := p.idle[last]
	p.idle[last] = none
	p.idle = p.idle[:last]
	return v, true
}

// Put adds an idle value. It returns false, and the value stays with the caller, when
// the pool is full or closed.
func (p *Pool[T]) Put(v T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.Limit {
		return false
	}
	p.idle = append(p.idle, v)
	return true
}

// Close closes the pool and returns its idle values. Later calls of Put return false.
func (p *Pool[T]) Close() []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	return idle
}
