// Package pool keeps idle values for reuse.
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

// Pool holds up to Limit idle values, newest first. The zero Pool holds none.
type Pool[T any] struct {
	Limit int

	mu     sync.Mutex
	idle   []T
	closed bool
}

// Get removes the value that was put last.
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

// Put keeps a value; it reports false when there is no room.
func (p *Pool[T]) Put(v T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.Limit {
		return false
	}
	p.idle = append(p.idle, v)
	return true
}

// Close empties the pool, keeps nothing from now on and returns what was idle.
func (p *Pool[T]) Close() []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	return idle
}
