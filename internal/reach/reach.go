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
	// tolerated is the number of failures in a row that have no consequence.
	tolerated = 1
	shortest  = 500 * time.Millisecond
	longest   = 30 * time.Second
	// remembered is how long the last failure of a gatekeeper counts.
	remembered = 2 * longest
)

// Tracker holds the outcomes of the last hops. The zero value avoids nobody.
type Tracker struct {
	mu  sync.Mutex
	bad map[ids.Daemon]*record
}

// record is a gatekeeper that failed last time.
type record struct {
	failures int
	noted    units.Instant
	until    units.Instant
	wait     time.Duration
}

// Record takes in the outcome of a hop: ok is false when the gatekeeper itself could
// not be reached or did not answer.
func (r *Tracker) Record(daemon ids.Daemon, ok bool, now units.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		delete(r.bad, daemon)
		return
	}
	if r.bad == nil {
		r.bad = map[ids.Daemon]*record{}
	}
	f, known := r.bad[daemon]
	if !known {
		f = &record{}
		r.bad[daemon] = f
	}
	f.fail(now)
}

// fail lengthens the time to avoid the gatekeeper. Failures of hops that began
// before it was avoided don't count again.
func (f *record) fail(now units.Instant) {
	f.failures++
	f.noted = now
	if f.failures <= tolerated || now.Before(f.until) {
		return
	}
	f.wait = min(max(f.wait*2, shortest), longest)
	f.until = now.Add(f.wait)
}

// Avoid reports whether the gatekeeper should not be chosen now. After the wait one
// more hop may try it.
func (r *Tracker) Avoid(daemon ids.Daemon, now units.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.avoid(daemon, now)
}

func (r *Tracker) avoid(daemon ids.Daemon, now units.Instant) bool {
	f, known := r.bad[daemon]
	return known && now.Before(f.until)
}

// Usable returns the daemons that need not be avoided, or all of them when none
// would be left.
func (r *Tracker) Usable(daemons []ids.Daemon, now units.Instant) []ids.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rest []ids.Daemon
	for _, d := range daemons {
		if !r.avoid(d, now) {
			rest = append(rest, d)
		}
	}
	if len(rest) == 0 {
		return daemons
	}
	return rest
}

// NoFailures reports whether no hop failed last time, so that nobody is avoided.
func (r *Tracker) NoFailures() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bad) == 0
}

// EvictStale drops the gatekeepers that were not tried again for long, such as those
// that are gone for good.
func (r *Tracker) EvictStale(now units.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for d, f := range r.bad {
		if now.Sub(f.noted) > remembered {
			delete(r.bad, d)
		}
	}
}

// Forget drops a daemon that is gone for good.
func (r *Tracker) Forget(daemon ids.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.bad, daemon)
}
