// Package member describes one daemon and its targets as they are known in the
// fleet.
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

// Member is a daemon's description of itself. A higher incarnation, and within it a
// higher version, replaces a lower one; a lower one never replaces a higher one.
type Member struct {
	Daemon      ids.Daemon      `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
	Version     uint64          `cbor:"3,keyasint"`
	Peers       ids.Address     `cbor:"4,keyasint"`
	Operators   ids.Address     `cbor:"5,keyasint,omitempty"`
	Centre      ids.Centre      `cbor:"6,keyasint"`
	Region      ids.Region      `cbor:"7,keyasint"`
	// Leaving is set when the daemon finishes its work and takes no more.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Gone is set when the daemon has left for good.
	Gone    bool     `cbor:"9,keyasint,omitempty"`
	Targets []Target `cbor:"10,keyasint,omitempty"`
}

// Target is a backend server behind a member.
type Target struct {
	ID      ids.Target  `cbor:"1,keyasint"`
	Service ids.Service `cbor:"2,keyasint"`
	Slots   units.Slots `cbor:"3,keyasint"`
	// WarmUp is how long the target needs to warm up from Age zero.
	WarmUp time.Duration `cbor:"4,keyasint,omitempty"`
	Age    time.Duration `cbor:"5,keyasint,omitempty"`
	// Leaving is set while the target drains.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Ejected is set while the gatekeeper has ejected the target.
	Ejected bool `cbor:"7,keyasint,omitempty"`
}

// Revision identifies one description of a daemon and orders it among its others.
type Revision struct {
	Daemon      ids.Daemon      `cbor:"1,keyasint"`
	Incarnation ids.Incarnation `cbor:"2,keyasint"`
	Version     uint64          `cbor:"3,keyasint"`
}

// Revision returns the revision of m.
func (m Member) Revision() Revision {
	return Revision{Daemon: m.Daemon, Incarnation: m.Incarnation, Version: m.Version}
}

// Precedes reports whether other is newer than a.
func (a Revision) Precedes(other Revision) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation < other.Incarnation
	}
	return a.Version < other.Version
}

// Precedes reports whether other is newer than m.
func (m Member) Precedes(other Member) bool { return m.Revision().Precedes(other.Revision()) }
