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
	// deadline is until when it is of use to wait.
	deadline units.Instant
	started  bool
}

// queue holds waiting requests, the next one first: inner requests, because a request
// that already runs waits for each of them, then by rank, then those that can wait least.
type queue struct {
	waiting []*waiter
}

// Len returns how many requests wait.
func (q *queue) Len() int { return len(q.waiting) }

// Push adds a request, or reports that the queue is full.
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

// Pop takes the next request.
func (q *queue) Pop() (*waiter, bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	w := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	return w, true
}

// Remove takes a request out.
func (q *queue) Remove(w *waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Ahead returns how many requests go before w.
func (q *queue) Ahead(w *waiter) int { return max(slices.Index(q.waiting, w), 0) }
