// Package member describes one daemon and its targets as the fleet knows them.
//
// # Usage
//
//	if old.Precedes(m) {
//		store(m)
//	}
package member

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Member is what a daemon says of itself. A higher incarnation, and within it a
// higher version, replaces a lower one; nothing reverts.
type Member struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
	Version     uint64
	Peers       ids.Address
	Operators   ids.Address
	Centre      ids.Centre
	Region      ids.Region
	// Leaving is set when the daemon finishes its work and takes no more.
	Leaving bool
	// Gone is set when the daemon has left for good.
	Gone    bool
	Targets []Target
}

// Target is a backend server behind a member.
type Target struct {
	ID      ids.Target
	Service ids.Service
	Slots   units.Slots
	// Cold is how long the target needs to warm up from Age zero.
	Cold time.Duration
	Age  time.Duration
	// Leaving is set while the target drains.
	Leaving bool
	// Ejected is set while the gatekeeper keeps it out of use.
	Ejected bool
}

// Precedes reports whether other is newer than m.
func (m Member) Precedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation < other.Incarnation
	}
	return m.Version < other.Version
}
