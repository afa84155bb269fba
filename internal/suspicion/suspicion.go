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
const Grace = 3 * time.Second

// Suspicion follows one daemon. The zero value has no suspicion.
type Suspicion struct {
	since  units.Instant
	raised bool
}

// Missed notes that the daemon could not be reached.
func (s *Suspicion) Missed(now units.Instant) {
	if s.raised {
		return
	}
	s.raised = true
	s.since = now
}

// Heard ends the suspicion.
func (s *Suspicion) Heard() { s.raised = false }

// Raised reports whether there is a suspicion.
func (s *Suspicion) Raised() bool { return s.raised }

// Lost reports whether the daemon counts as lost.
func (s *Suspicion) Lost(now units.Instant) bool {
	return s.raised && now.Sub(s.since) >= Grace
}
