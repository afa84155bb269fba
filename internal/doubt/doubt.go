// Package doubt decides when a daemon that does not answer counts as lost.
//
// # Usage
//
//	var d doubt.Doubt
//	d.Missed(now)                 // neither directly nor through others
//	if d.Lost(now) { ... }
//	d.Heard()                     // any newer word of the daemon itself
//
// A daemon in doubt can show itself for a while before it counts as lost, because
// a pause or a lost message is more common than a failure.
package doubt

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Grace is how long a daemon can show itself before it counts as lost.
const Grace = 3 * time.Second

// Doubt follows one daemon. The zero value has no doubt.
type Doubt struct {
	since  units.Instant
	raised bool
}

// Missed notes that the daemon could not be reached.
func (d *Doubt) Missed(now units.Instant) {
	if d.raised {
		return
	}
	d.raised = true
	d.since = now
}

// Heard ends the doubt.
func (d *Doubt) Heard() { d.raised = false }

// Raised reports whether there is a doubt.
func (d *Doubt) Raised() bool { return d.raised }

// Lost reports whether the daemon counts as lost.
func (d *Doubt) Lost(now units.Instant) bool {
	return d.raised && now.Sub(d.since) >= Grace
}
