package gatekeeper

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
)

// Outcome is the result of a request that held a slot of a target.
type Outcome struct {
	Head call.Head
	// Status is the HTTP status of the answer, or zero without an answer.
	Status int
	// Err is why there was no answer or why the answer was truncated, or nil.
	Err error
	// Took is the time from the hand-off to the target until the end of the answer.
	Took time.Duration
	// TimeToHead is the time from the hand-off until the head of the answer.
	TimeToHead time.Duration
}

// finish frees the slot of a request. It must be called exactly once for each request
// that held a slot.
func (g *Gatekeeper) finish(t *target, o Outcome) {
	t.queue.release(o.Head, o.Took)
}
