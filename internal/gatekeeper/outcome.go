package gatekeeper

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
)

// Outcome is how a request ended that held a slot of a target.
type Outcome struct {
	Head call.Head
	// Status is the answer's status, or zero when there was none.
	Status int
	// Err is why there was no answer, or why the answer was cut, or nil.
	Err error
	// Took is the time from the hand-off to the target until the end.
	Took time.Duration
	// First is the time from the hand-off until the head of the answer.
	TimeToHead time.Duration
}

// ended is called once for each request that held a slot, when it is over.
func (g *Gatekeeper) finish(t *target, o Outcome) {
	t.queue.release(o.Head, o.Took)
}
