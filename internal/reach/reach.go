// Package reach remembers which gatekeepers this daemon can't reach at present.
//
// # Usage
//
//	r.Note("daemon-7", false, now)
//	if r.Avoid("daemon-7", now) { ... }
//	usable := r.Usable(daemons, now)
//
// It holds for this daemon only, because with a one-way or partial partition others
// may reach the same gatekeeper. Nobody is told and no permit is needed.
package reach

import (
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// toleratedFailures is the number of failures in a row that have no consequence.
	toleratedFailures = 1
	minBackoff        = 500 * time.Millisecond
	maxBackoff        = 30 * time.Second
	// retention is how long the last failure of a gatekeeper counts.
	retention = 2 * maxBackoff
)

// Tracker holds the outcomes of the last hops. The zero value avoids nobody.
type Tracker struct {
	mu       sync.Mutex
	failures map[ids.Daemon]*failure
}

// failure is a gatekeeper that failed last time.
type failure struct {
	count      int
	failedAt   units.Instant
	avoidUntil units.Instant
	backoff    time.Duration
}

// Record takes in the outcome of a hop: ok is false when the gatekeeper itself could
// not be reached or did not answer.
func (t *Tracker) Record(daemon ids.Daemon, ok bool, now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		delete(t.failures, daemon)
		return
	}
	if t.failures == nil {
		t.failures = map[ids.Daemon]*failure{}
	}
	f, known := t.failures[daemon]
	if !known {
		f = &failure{}
		t.failures[daemon] = f
	}
	f.add(now)
}

// add lengthens the time to avoid the gatekeeper. Failures of hops that began
// before it was avoided don't count again.
func (f *failure) add(now units.Instant) {
	f.count++
	f.failedAt = now
	if f.count <= toleratedFailures || now.Before(f.avoidUntil) {
		return
	}
	f.backoff = min(max(f.backoff*2, minBackoff), maxBackoff)
	f.avoidUntil = now.Add(f.backoff)
}

// Avoid reports whether the gatekeeper should not be chosen now. After the wait one
// more hop may try it.
func (t *Tracker) Avoid(daemon ids.Daemon, now units.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoid(daemon, now)
}

func (t *Tracker) avoid(daemon ids.Daemon, now units.Instant) bool {
	f, known := t.failures[daemon]
	return known && now.Before(f.avoidUntil)
}

// Usable returns the daemons that need not be avoided, or all of them when none
// would be left.
func (t *Tracker) Usable(daemons []ids.Daemon, now units.Instant) []ids.Daemon {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rest []ids.Daemon
	for _, d := range daemons {
		if !t.avoid(d, now) {
			rest = append(rest, d)
		}
	}
	if len(rest) == 0 {
		return daemons
	}
	return rest
}

// NoFailures reports whether no hop failed last time, so that nobody is avoided.
func (t *Tracker) NoFailures() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.failures) == 0
}

// EvictStale drops the gatekeepers that were not tried again for long, such as those
// that are gone for good.
func (t *Tracker) EvictStale(now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, f := range t.failures {
		if now.Sub(f.failedAt) > retention {
			delete(t.failures, d)
		}
	}
}

// Remove drops a daemon that is gone for good.
func (t *Tracker) Remove(daemon ids.Daemon) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, daemon)
}
