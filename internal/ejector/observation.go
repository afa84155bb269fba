package ejector

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Observation records the progress of one request from its hand-off to the target
// to its end. Its methods may be called concurrently.
type Observation struct {
	ejector *Ejector
	state   *state
	route   ids.Route
	sentAt  units.Instant
	// sent is set once the target has the whole request, so that a slow upload by
	// the caller does not count against the target.
	sent  bool
	hangs int
	ended bool
}

// Begin starts the observation of a request that is handed to a target now.
func (e *Ejector) Begin(id ids.Target, route ids.Route) *Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &Observation{ejector: e, state: e.targets[id], route: route}
	if o.state != nil {
		o.state.inFlight[o] = true
	}
	return o
}

// MarkSent records that the target has the whole request. Only the first call counts.
func (o *Observation) MarkSent() {
	now := o.ejector.Common.Clock.Now()
	o.ejector.mu.Lock()
	defer o.ejector.mu.Unlock()
	if !o.sent {
		o.sent = true
		o.sentAt = now
	}
}

// MarkHead records that the head of the response has arrived. It returns the time
// since MarkSent, or zero when the target answered before it had the whole request.
func (o *Observation) MarkHead() sample.Good {
	now := o.ejector.Common.Clock.Now()
	o.ejector.mu.Lock()
	defer o.ejector.mu.Unlock()
	if o.state != nil {
		delete(o.state.inFlight, o)
	}
	if !o.sent {
		return sample.Good{}
	}
	return sample.Good{Took: max(now.Sub(o.sentAt), 1)}
}

// End records the outcome of the request. Only the first call counts. A request
// that was counted as hung counts again only if its outcome is good.
func (o *Observation) End(x sample.Sample) {
	now := o.ejector.Common.Clock.Now()
	o.ejector.mu.Lock()
	defer o.ejector.mu.Unlock()
	if o.ended || o.state == nil {
		return
	}
	o.ended = true
	delete(o.state.inFlight, o)
	if _, good := x.(sample.Good); o.hangs > 0 && !good {
		return
	}
	o.state.record(now, o.route, x)
}
