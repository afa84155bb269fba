// Package leasecheck says whether a daemon may act on shared state.
//
// # Usage
//
//	s, err := kernel.Find[standing.Standing](f, "confirm")
//	if !s.Confirmed() {
//		return refusal
//	}
package leasecheck

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// Checker is what holdings, permits and key checks ask before they act. The
// service "confirm" provides it.
type Checker interface {
	// Confirmed reports whether the state was confirmed within the last period.
	Confirmed() bool
	// Roster returns the roster in force, or an empty one.
	Roster() roster.Roster
	// Self returns this daemon's name and incarnation.
	Self() (ids.Daemon, ids.Incarnation)
}
