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
	typicalWeight = 0.1
	// minRetryAfter is the shortest wait that a shed caller is asked for.
	minRetryAfter = 100 * time.Millisecond
)

// gate hands out the slots of one target. A request holds its slot from enter
// until leave.
type gate struct {
	invariant *invariant.Invariant

	mu      sync.Mutex
	slots   int
	queue   fairqueue.Queue[*waiter]
	running int
	shut    bool
	typical time.Duration
}

// waiter is one request in the queue. Its channel gets nil with a slot, or the
// refusal; it holds one value, so that whoever decides never blocks.
type waiter struct{ decided chan error }

func newGate(inv *invariant.Invariant, slots int) *gate {
	g := &gate{invariant: inv}
	g.resize(slots)
	return g
}

// resize changes the number of slots. Requests that run keep theirs.
func (g *gate) resize(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.queue.Limit = max(slots*queuePerSlot, g.queue.Len())
	g.admit()
}

// enter waits for a slot. Its errors are all unrun.
func (g *gate) enter(ctx context.Context, head call.Head) error {
	w, err := g.join(head)
	if w == nil {
		return err
	}
	select {
	case err := <-w.decided:
		return err
	case <-ctx.Done():
		g.giveUp(w, head)
		return verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the backend server had no free slot in time", ctx.Err())
	}
}

// join takes a slot, or a place in the queue, or refuses.
func (g *gate) join(head call.Head) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return nil, errLeaving
	}
	if g.running < g.slots && g.queue.Len() == 0 {
		g.queue.Begin(head.Account, head.Weight)
		g.start()
		return nil, nil
	}
	if wait := g.estimate(head); wait+g.typical > head.Remaining {
		return nil, overloaded("the backend server's queue is longer than the deadline", wait)
	}
	w := &waiter{decided: make(chan error, 1)}
	if shed, full := g.queue.Push(w, head.Account, head.Weight, head.Patience); full {
		shed.decided <- overloaded("the backend server's queue is full", g.estimate(head))
	}
	g.check()
	return w, nil
}

// estimate returns how long a new request would wait for its slot.
func (g *gate) estimate(head call.Head) time.Duration {
	ahead := g.queue.Ahead(head.Account, head.Weight, head.Patience)
	return g.typical * time.Duration(ahead+1) / time.Duration(max(g.slots, 1))
}

// giveUp takes a request out that no longer wants its slot.
func (g *gate) giveUp(w *waiter, head call.Head) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(w) {
		return
	}
	if err := <-w.decided; err == nil {
		g.free(head)
	}
}

// start counts one more running request.
func (g *gate) start() {
	g.running++
	g.check()
	g.invariant.Check(g.running <= g.slots, "a request started with no free slot")
}

// admit hands the free slots to the queue.
func (g *gate) admit() {
	for g.running < g.slots {
		w, ok := g.queue.Pop()
		if !ok {
			return
		}
		g.start()
		w.decided <- nil
	}
}

func (g *gate) free(head call.Head) {
	g.running--
	g.queue.Done(head.Account)
	g.check()
	g.admit()
}

func (g *gate) check() {
	g.invariant.Check(g.running >= 0 && g.running == g.queue.Running(), "the gate and its queue count different running requests")
	g.invariant.Check(g.queue.Consistent(), "the counts of the fair queue disagree")
}

// leave frees the slot of a request and learns from its time there.
func (g *gate) leave(head call.Head, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.typical == 0 {
		g.typical = took
	} else {
		g.typical += time.Duration(typicalWeight * float64(took-g.typical))
	}
	g.free(head)
}

// close refuses all that wait and all that come; what runs goes on.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
	for _, w := range g.queue.Drain() {
		w.decided <- errLeaving
	}
	g.check()
}

// open takes requests again after close.
func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = false
}

// idle reports whether no request runs.
func (g *gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0
}

// load describes the gate for the daemons that choose among targets.
func (g *gate) load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{
		InFlight: g.running,
		Queued:   g.queue.Len(),
		Slots:    units.Slots(g.slots),
		Typical:  g.typical,
		Leaving:  g.shut,
	}
}

var errLeaving = verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is leaving")

func overloaded(reason string, wait time.Duration) error {
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, reason).After(max(wait, minRetryAfter))
}
