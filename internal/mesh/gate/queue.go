package gate

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
)

// waiter is a request that waits for a slot.
type waiter struct {
	terms request.Terms
	slot  *Slot
	done  chan *link.Declined
	// deadline is until when waiting is of use to the caller.
	deadline units.Instant
	started  bool
}

// queue holds the waiting requests in the order in which they run: nested requests first,
// because a request that already runs waits for each of them, then by rank, then by
// deadline.
type queue struct {
	waiting []*waiter
}

// Len returns how many requests wait.
func (q *queue) Len() int { return len(q.waiting) }

// Push adds a request. It returns false when the queue holds limit requests already.
func (q *queue) Push(w *waiter, limit int) bool {
	if len(q.waiting) >= limit {
		return false
	}
	at := len(q.waiting)
	for at > 0 && before(w, q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	return true
}

func before(a, b *waiter) bool {
	if a.terms.Nested != b.terms.Nested {
		return a.terms.Nested
	}
	if a.terms.Rank != b.terms.Rank {
		return a.terms.Rank < b.terms.Rank
	}
	return a.deadline.Before(b.deadline)
}

// Pop removes and returns the next request.
func (q *queue) Pop() (*waiter, bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	w := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return w, true
}

// Remove removes a request if it waits.
func (q *queue) Remove(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Ahead returns how many requests run before w.
func (q *queue) Ahead(w *waiter) int { return max(slices.Index(q.waiting, w), 0) }
