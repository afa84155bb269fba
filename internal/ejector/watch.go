package ejector

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Observation follows one request from its hand-off to the target until it ends.
type Observation struct {
	ejector *Ejector
	state   *state
	route   ids.Route
	sentAt  units.Instant
	// sent is set once the target has the whole request, so that a slow caller is
	// not the target's fault.
	sent  bool
	hangs int
	ended bool
}

// Begin follows a request that is handed to a target now.
func (e *Ejector) Begin(id ids.Target, route ids.Route) *Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Observation{ejector: e, state: e.targets[id], route: route}
	if w.state != nil {
		w.state.inFlight[w] = true
	}
	return w
}

// MarkSent says that the target has the whole request.
func (w *Observation) MarkSent() {
	now := w.ejector.Common.Clock.Now()
	w.ejector.mu.Lock()
	defer w.ejector.mu.Unlock()
	if !w.sent {
		w.sent = true
		w.sentAt = now
	}
}

// MarkHead says that the head of the answer is there, and returns the time since Sent,
// or zero when the target did not wait for the whole request.
func (w *Observation) MarkHead() sample.Good {
	now := w.ejector.Common.Clock.Now()
	w.ejector.mu.Lock()
	defer w.ejector.mu.Unlock()
	if w.state != nil {
		delete(w.state.inFlight, w)
	}
	if !w.sent {
		return sample.Good{}
	}
	return sample.Good{Took: max(now.Sub(w.sentAt), 1)}
}

// End takes in how the request ended. Only the first call counts. A request that
// was counted as hung is not counted again unless it ended well.
func (w *Observation) End(x sample.Sample) {
	now := w.ejector.Common.Clock.Now()
	w.ejector.mu.Lock()
	defer w.ejector.mu.Unlock()
	if w.ended || w.state == nil {
		return
	}
	w.ended = true
	delete(w.state.inFlight, w)
	if _, good := x.(sample.Good); w.hangs > 0 && !good {
		return
	}
	w.state.record(now, w.route, x)
}
