// Package reach tracks which gatekeepers this daemon can't reach at present, and backs
// off from them.
//
// # Usage
//
//	r.Record("daemon-7", false, now)
//	if r.Avoid("daemon-7", now) { ... }
//	usable := r.Usable(daemons, now)
//
// The state is local to this daemon, because with a one-way or partial partition
// others may reach the same gatekeeper. It is not sent to others and needs no permit.
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
	// retention is how long the failures of a gatekeeper are retained after the last.
	retention = 2 * maxBackoff
)

// Tracker holds the gatekeepers whose last hop failed. The zero value has none. Its
// methods may be called concurrently.
type Tracker struct {
	mu       sync.Mutex
	failures map[ids.Daemon]*failure
}

// failure is the state of a gatekeeper whose last hop failed.
type failure struct {
	count      int
	failedAt   units.Instant
	avoidUntil units.Instant
	backoff    time.Duration
}

// Record records the outcome of a hop. ok is false when the gatekeeper itself could
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

// add counts a failure and doubles the backoff. Failures during the backoff, of hops
// that began before it, don't lengthen it.
func (f *failure) add(now units.Instant) {
	f.count++
	f.failedAt = now
	if f.count <= toleratedFailures || now.Before(f.avoidUntil) {
		return
	}
	f.backoff = min(max(f.backoff*2, minBackoff), maxBackoff)
	f.avoidUntil = now.Add(f.backoff)
}

// Avoid reports whether the gatekeeper should not be chosen now. After the backoff it
// may be tried again; one more failure starts the next backoff.
func (t *Tracker) Avoid(daemon ids.Daemon, now units.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoid(daemon, now)
}

func (t *Tracker) avoid(daemon ids.Daemon, now units.Instant) bool {
	f, known := t.failures[daemon]
	return known && now.Before(f.avoidUntil)
}

// Usable returns the daemons that are not avoided, or all of them if all are: then the
// fault is probably on this daemon's side.
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

// NoFailures reports whether no gatekeeper's last hop failed, so that none is avoided.
func (t *Tracker) NoFailures() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.failures) == 0
}

// EvictStale removes the gatekeepers that did not fail within the retention period,
// such as those that are no longer tried.
func (t *Tracker) EvictStale(now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for d, f := range t.failures {
		if now.Sub(f.failedAt) > retention {
			delete(t.failures, d)
		}
	}
}

// Remove deletes the state of a daemon that has left for good.
func (t *Tracker) Remove(daemon ids.Daemon) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.failures, daemon)
}
