package ejector

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Observation follows one request from its hand-off to the target until it ends.
type Observation struct {
	ejector  *Ejector
	evidence *evidence
	route    ids.Route
	began    units.Instant
	// sent is set once the target has the whole request, so that a slow caller is
	// not the target's fault.
	sent  bool
	hangs int
	over  bool
}

// Begin follows a request that is handed to a target now.
func (e *Ejector) Begin(id ids.Target, route ids.Route) *Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Observation{ejector: e, evidence: e.targets[id], route: route}
	if w.evidence != nil {
		w.evidence.flight[w] = true
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
		w.began = now
	}
}

// MarkHead says that the head of the answer is there, and returns the time since Sent,
// or zero when the target did not wait for the whole request.
func (w *Observation) MarkHead() sample.Good {
	now := w.ejector.Common.Clock.Now()
	w.ejector.mu.Lock()
	defer w.ejector.mu.Unlock()
	if w.evidence != nil {
		delete(w.evidence.flight, w)
	}
	if !w.sent {
		return sample.Good{}
	}
	return sample.Good{Took: max(now.Sub(w.began), 1)}
}

// End takes in how the request ended. Only the first call counts. A request that
// was counted as hung is not counted again unless it ended well.
func (w *Observation) End(x sample.Sample) {
	now := w.ejector.Common.Clock.Now()
	w.ejector.mu.Lock()
	defer w.ejector.mu.Unlock()
	if w.over || w.evidence == nil {
		return
	}
	w.over = true
	delete(w.evidence.flight, w)
	if _, good := x.(sample.Good); w.hangs > 0 && !good {
		return
	}
	w.evidence.note(now, w.route, x)
}
