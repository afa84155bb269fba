package soak

import (
	"context"
	"sync"
)

// gate holds back what a paused daemon would send, receive or answer. The zero gate
// is open.
type gate struct {
	mu     sync.Mutex
	pauses int
	open   chan struct{}
}

// shut pauses; each shut needs one free.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pauses == 0 {
		g.open = make(chan struct{})
	}
	g.pauses++
}

func (g *gate) free() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pauses--; g.pauses == 0 {
		close(g.open)
	}
}

// pass waits while the gate is shut. A context that ends meanwhile ends the wait
// only once the gate is open again, because a paused process notices nothing.
func (g *gate) pass(ctx, life context.Context) error {
	for {
		g.mu.Lock()
		pauses, open := g.pauses, g.open
		g.mu.Unlock()
		if pauses == 0 {
			break
		}
		select {
		case <-open:
		case <-life.Done():
			return life.Err()
		}
	}
	if life.Err() != nil {
		return life.Err()
	}
	return ctx.Err()
}
