// Package leasecheck defines how a service checks whether its daemon has a read
// lease, without which it must not act on shared state.
//
// # Usage
//
//	lease, err := kernel.Find[leasecheck.Checker](f, "confirm")
//	if !lease.Confirmed() {
//		return refusal
//	}
package leasecheck

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// Checker tells quota shares, permits and checks of idempotency keys whether they may
// act. The service "confirm" provides it.
type Checker interface {
	// Confirmed reports whether a quorum read has confirmed this daemon's state within
	// the duration of the read lease.
	Confirmed() bool
	// Roster returns the roster in force, or an empty one.
	Roster() roster.Roster
	// Self returns this daemon's name and incarnation.
	Self() (ids.Daemon, ids.Incarnation)
}
