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
	// queuePerSlot bounds the waiting requests of a target; the deadlines bound
	// their waiting time.
	queuePerSlot = 64
	// typicalWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// minRetryAfter is the shortest wait that a shed caller is asked for.
	minRetryAfter = 100 * time.Millisecond
)

// gate hands out the slots of one target. A request holds its slot from enter
// until leave.
type slotQueue struct {
	invariant *invariant.Invariant

	mu             sync.Mutex
	slots          int
	waiting        fairqueue.Queue[*waiter]
	running        int
	closed         bool
	typicalLatency time.Duration
}

// waiter is one request in the queue. Its channel gets nil with a slot, or the
// refusal; it holds one value, so that whoever decides never blocks.
type waiter struct{ decision chan error }

func newSlotQueue(inv *invariant.Invariant, slots int) *slotQueue {
	q := &slotQueue{invariant: inv}
	q.resize(slots)
	return q
}

// resize changes the number of slots. Requests that run keep theirs.
func (q *slotQueue) resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.waiting.Limit = max(slots*queuePerSlot, q.waiting.Len())
	q.startWaiting()
}

// enter waits for a slot. Its errors are all unrun.
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

// join takes a slot, or a place in the queue, or refuses.
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

// estimate returns how long a new request would wait for its slot.
func (q *slotQueue) estimateWait(head call.Head) time.Duration {
	ahead := q.waiting.Ahead(head.Account, head.Weight, head.Patience)
	return q.typicalLatency * time.Duration(ahead+1) / time.Duration(max(q.slots, 1))
}

// giveUp takes a request out that no longer wants its slot.
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

// start counts one more running request.
func (q *slotQueue) addRunning() {
	q.running++
	q.checkInvariants()
	q.invariant.Check(q.running <= q.slots, "a request started with no free slot")
}

// admit hands the free slots to the queue.
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

func (q *slotQueue) releaseLocked(head call.Head) {
	q.running--
	q.waiting.Done(head.Account)
	q.checkInvariants()
	q.startWaiting()
}

func (q *slotQueue) checkInvariants() {
	q.invariant.Check(q.running >= 0 && q.running == q.waiting.Running(), "the gate and its queue count different running requests")
	q.invariant.Check(q.waiting.Consistent(), "the counts of the fair queue disagree")
}

// leave frees the slot of a request and learns from its time there.
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

// close refuses all that wait and all that come; what runs goes on.
func (q *slotQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting.Drain() {
		w.decision <- errLeaving
	}
	q.checkInvariants()
}

// open takes requests again after close.
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

// load describes the gate for the daemons that choose among targets.
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

func overloaded(reason string, wait time.Duration) error {
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, reason).After(max(wait, minRetryAfter))
}
