// Package suspicion decides when a daemon that does not answer counts as
// unreachable.
//
// # Usage
//
//	var s suspicion.Suspicion
//	s.Start(now)                 // no answer, neither directly nor through others
//	if s.Expired(now) { ... }
//	s.Clear()                    // a newer description of the daemon arrived
//
// A suspected daemon has some time to refute the suspicion, because a pause or a
// lost message is more common than a failure.
package suspicion

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Timeout is how long a daemon can refute a suspicion before it counts as
// unreachable.
const Timeout = 3 * time.Second

// Suspicion is the suspicion of one daemon. The zero value is inactive.
type Suspicion struct {
	since  units.Instant
	active bool
}

// Start starts the suspicion; an active one retains its start time.
func (s *Suspicion) Start(now units.Instant) {
	if s.active {
		return
	}
	s.active = true
	s.since = now
}

// Clear ends the suspicion.
func (s *Suspicion) Clear() { s.active = false }

// Active reports whether the daemon is suspected.
func (s *Suspicion) Active() bool { return s.active }

// Expired reports whether the daemon was suspected for Timeout and counts as
// unreachable.
func (s *Suspicion) Expired(now units.Instant) bool {
	return s.active && now.Sub(s.since) >= Timeout
}
