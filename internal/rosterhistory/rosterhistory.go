// Package rosterhistory records the rosters that this daemon has observed, and
// since when each one was in force, to find out since when the daemon has held a
// role under all of them.
//
// # Usage
//
//	change := h.Observe(now, roster) // only while the daemon is confirmed
//	since, ok := h.HeldSince(func(r roster.Roster) bool { return leads(r) })
package rosterhistory

import (
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Change is the result of an observation.
type Change string

// The results of an observation.
const (
	// Unchanged means that no roster is new and that none has come into force.
	Unchanged Change = "same"
	// Changed means that another roster is in force or was read.
	Changed Change = "next"
	// Interrupted means that there is a new roster after more than MaxGap without an
	// observation. Other rosters may have been in force meanwhile, so the earlier
	// history is discarded.
	Interrupted Change = "broken"
)

// History is a list of rosters, both those in force and those that were only read,
// with the instant of their first observation.
type History struct {
	// MaxGap is the longest time between two observations for which it is certain
	// that no daemon has acted on a roster that is missing here.
	MaxGap time.Duration
	// Limit is the number of rosters that are retained.
	Limit int

	observations []observation
	lastObserved units.Instant
}

// observation is a roster with the instant at which it was first observed in force,
// or first read while it isn't in force yet.
type observation struct {
	roster     roster.Roster
	inForce    bool
	observedAt units.Instant
}

// Observe records the roster in force and the newer ones that were read. It must be
// called only while the daemon is confirmed.
func (h *History) Observe(now units.Instant, r roster.Roster) Change {
	defer func() { h.lastObserved = now }()
	change := Unchanged
	if len(h.observations) > 0 && now.Sub(h.lastObserved) > h.MaxGap && h.hasNew(r) {
		h.observations = nil
		change = Interrupted
	}
	for i, one := range r.WithNewer() {
		if at := h.index(one); at >= 0 {
			if i == 0 && !h.observations[at].inForce {
				h.observations[at].inForce, h.observations[at].observedAt = true, now
				change = Changed
			}
			continue
		}
		if change == Unchanged {
			change = Changed
		}
		h.observations = append(h.observations, observation{roster: one, inForce: i == 0, observedAt: now})
	}
	if len(h.observations) > h.Limit {
		h.observations = slices.Clone(h.observations[len(h.observations)-h.Limit:])
	}
	return change
}

// hasNew reports whether the roster in force or a newer one that was read has not
// been observed before.
func (h *History) hasNew(r roster.Roster) bool {
	return slices.ContainsFunc(r.WithNewer(), func(one roster.Roster) bool { return h.index(one) < 0 })
}

// index returns the index of a roster, or -1. A roster without a version is compared
// with the newest only.
func (h *History) index(r roster.Roster) int {
	for i := len(h.observations) - 1; i >= 0; i-- {
		if equal(h.observations[i].roster, r) {
			return i
		}
		if r.Version == 0 {
			break
		}
	}
	return -1
}

// equal compares the versions, and for rosters without a version the entries.
func equal(a, b roster.Roster) bool {
	if a.Version != b.Version {
		return false
	}
	return a.Version != 0 || slices.Equal(a.Entries, b.Entries)
}

// HeldSince returns the instant since which all observed rosters have met the
// condition, which is when the first of them was observed in force. It returns false
// when the newest roster, in force or only read, doesn't meet the condition, or when
// none of those that do was in force.
func (h *History) HeldSince(holds func(roster.Roster) bool) (units.Instant, bool) {
	var since units.Instant
	found := false
	for i := len(h.observations) - 1; i >= 0 && holds(h.observations[i].roster); i-- {
		if h.observations[i].inForce {
			since, found = h.observations[i].observedAt, true
		}
	}
	return since, found
}

// All returns the rosters that are retained, oldest first.
func (h *History) All() []roster.Roster {
	list := make([]roster.Roster, 0, len(h.observations))
	for _, s := range h.observations {
		list = append(list, s.roster)
	}
	return list
}

// ActiveSince returns the rosters that a daemon may have acted on since an instant,
// newest first. It returns false when the history doesn't reach back that far.
func (h *History) ActiveSince(from units.Instant) ([]roster.Roster, bool) {
	var list []roster.Roster
	for i := len(h.observations) - 1; i >= 0; i-- {
		list = append(list, h.observations[i].roster)
		if h.observations[i].inForce && !from.Before(h.observations[i].observedAt) {
			return list, true
		}
	}
	return list, false
}
