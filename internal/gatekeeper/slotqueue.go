package gatekeeper

import (
	"context"
	"net/http"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/fairqueue"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// queuePerSlot is how many requests may wait at a target for each of its slots. How
	// long they wait is bounded by their deadlines.
	queuePerSlot = 64
	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.1
	// minRetryAfter is the shortest time after which a shed caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
)

// slotQueue grants the slots of one target. A request holds its slot from acquire to
// release. The methods may be called concurrently; those that expect the lock to be
// held say so.
type slotQueue struct {
	invariant *invariant.Invariant

	mu             sync.Mutex
	slots          int
	waiting        fairqueue.Queue[*waiter]
	running        int
	closed         bool
	typicalLatency time.Duration
}

// waiter is one request in the queue. Its channel receives nil when a slot is granted,
// or the error of a refusal. It has a buffer of one value, so that sending the decision
// never blocks.
type waiter struct{ decision chan error }

func newSlotQueue(inv *invariant.Invariant, slots int) *slotQueue {
	q := &slotQueue{invariant: inv}
	q.resize(slots)
	return q
}

// resize changes the number of slots. Running requests keep theirs, also when there are
// now fewer.
func (q *slotQueue) resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.waiting.Limit = max(slots*queuePerSlot, q.waiting.Len())
	q.startWaiting()
}

// acquire blocks until a slot is granted, the request is refused or the context ends.
// All of its errors have the verdict unrun.
func (q *slotQueue) acquire(ctx context.Context, head call.Head) error {
	w, err := q.admitOrEnqueue(head)
	if w == nil {
		return err
	}
	select {
	case err := <-w.decision:
		return err
	case <-ctx.Done():
		q.cancel(w, head)
		return verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the backend server had no free slot in time", ctx.Err())
	}
}

// admitOrEnqueue grants a free slot at once (nil, nil), enqueues the request (a waiter),
// or refuses it (an error), also when the estimated wait and latency exceed the time
// that the request has left. A full queue may shed another request in its place.
func (q *slotQueue) admitOrEnqueue(head call.Head) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, errLeaving
	}
	if q.running < q.slots && q.waiting.Len() == 0 {
		q.waiting.Begin(head.Account, head.Weight)
		q.addRunning()
		return nil, nil
	}
	if wait := q.estimateWait(head); wait+q.typicalLatency > head.Remaining {
		return nil, overloaded("the backend server's queue is longer than the deadline", wait)
	}
	w := &waiter{decision: make(chan error, 1)}
	if shed, full := q.waiting.Push(w, head.Account, head.Weight, head.Patience); full {
		shed.decision <- overloaded("the backend server's queue is full", q.estimateWait(head))
	}
	q.checkInvariants()
	return w, nil
}

// estimateWait returns how long a new request would wait for its slot. The caller holds
// the lock.
func (q *slotQueue) estimateWait(head call.Head) time.Duration {
	ahead := q.waiting.Ahead(head.Account, head.Weight, head.Patience)
	return q.typicalLatency * time.Duration(ahead+1) / time.Duration(max(q.slots, 1))
}

// cancel removes a waiter whose request was cancelled. A slot that was granted meanwhile
// goes to the next request.
func (q *slotQueue) cancel(w *waiter, head call.Head) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Remove(w) {
		return
	}
	if err := <-w.decision; err == nil {
		q.releaseLocked(head)
	}
}

// addRunning counts one more running request. The caller holds the lock.
func (q *slotQueue) addRunning() {
	q.running++
	q.checkInvariants()
	q.invariant.Check(q.running <= q.slots, "a request started with no free slot")
}

// startWaiting grants the free slots to queued requests. The caller holds the lock.
func (q *slotQueue) startWaiting() {
	for q.running < q.slots {
		w, ok := q.waiting.Pop()
		if !ok {
			return
		}
		q.addRunning()
		w.decision <- nil
	}
}

// releaseLocked frees a slot and grants it to the next request. The caller holds the
// lock.
func (q *slotQueue) releaseLocked(head call.Head) {
	q.running--
	q.waiting.Done(head.Account)
	q.checkInvariants()
	q.startWaiting()
}

// checkInvariants compares the counts of the slots and of the fair queue. The caller
// holds the lock.
func (q *slotQueue) checkInvariants() {
	q.invariant.Check(q.running >= 0 && q.running == q.waiting.Running(), "the gate and its queue count different running requests")
	q.invariant.Check(q.waiting.Consistent(), "the counts of the fair queue disagree")
}

// release frees the slot of a request and adds the time that it held the slot to the
// average latency.
func (q *slotQueue) release(head call.Head, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.typicalLatency == 0 {
		q.typicalLatency = took
	} else {
		q.typicalLatency += time.Duration(latencyWeight * float64(took-q.typicalLatency))
	}
	q.releaseLocked(head)
}

// close refuses all queued and new requests; running ones continue.
func (q *slotQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting.Drain() {
		w.decision <- errLeaving
	}
	q.checkInvariants()
}

// reopen admits requests again after close.
func (q *slotQueue) reopen() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = false
}

// idle reports whether no request runs.
func (q *slotQueue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running == 0
}

// load returns the load report for the daemons that choose among targets. Its Target
// is not set.
func (q *slotQueue) load() call.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return call.Load{
		InFlight: q.running,
		Queued:   q.waiting.Len(),
		Slots:    units.Slots(q.slots),
		Typical:  q.typicalLatency,
		Leaving:  q.closed,
	}
}

var errLeaving = verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is leaving")

// overloaded returns the error of a shed request, which may be retried after the given
// wait.
func overloaded(reason string, wait time.Duration) error {
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, reason).After(max(wait, minRetryAfter))
}
