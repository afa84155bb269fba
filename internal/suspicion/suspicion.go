// Package suspicion decides when a daemon that does not answer counts as lost.
//
// # Usage
//
//	var s suspicion.Suspicion
//	s.Missed(now)                 // neither directly nor through others
//	if s.Lost(now) { ... }
//	s.Heard()                     // any newer word of the daemon itself
//
// A suspected daemon can show itself for a while before it counts as lost, because
// a pause or a lost message is more common than a failure.
package suspicion

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Grace is how long a daemon can show itself before it counts as lost.
const Timeout = 3 * time.Second

// Suspicion follows one daemon. The zero value has no suspicion.
type Suspicion struct {
	since  units.Instant
	active bool
}

// Missed notes that the daemon could not be reached.
func (s *Suspicion) Start(now units.Instant) {
	if s.active {
		return
	}
	s.active = true
	s.since = now
}

// Heard ends the suspicion.
func (s *Suspicion) Clear() { s.active = false }

// Raised reports whether there is a suspicion.
func (s *Suspicion) Active() bool { return s.active }

// Lost reports whether the daemon counts as lost.
func (s *Suspicion) Expired(now units.Instant) bool {
	return s.active && now.Sub(s.since) >= Timeout
}
