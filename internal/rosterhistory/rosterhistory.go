// Package tenure remembers since when this daemon has had a seat under the
// rosters that it saw.
//
// # Usage
//
//	changed := t.Observe(now, roster) // only while confirmed
//	since, ok := t.Since(func(r roster.Roster) bool { return holds(r) })
package rosterhistory

import (
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Change says what an observation brought.
type Change string

// The changes.
const (
	// Unchanged means that the roster is the one observed before.
	Unchanged Change = "same"
	// Changed means that it is another roster.
	Changed Change = "next"
	// Interrupted means that it is another roster after a time without observations,
	// in which others may have been in force. What came before is forgotten.
	Interrupted Change = "broken"
)

// History is a list of rosters, those in force and those only read, with the
// instants of their first observation.
type History struct {
	// MaxGap is the longest time without observation in which no other roster can
	// have given anything out.
	MaxGap time.Duration
	// Limit is how many rosters are remembered.
	Limit int

	observations []observation
	lastObserved units.Instant
}

// observation is a roster with the instant at which it was first seen in force, or
// only read.
type observation struct {
	roster     roster.Roster
	inForce    bool
	observedAt units.Instant
}

// Observe takes down the roster in force and those that were read after it. It
// must be called only while the daemon is confirmed.
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

// hasNew reports whether the roster, or one that was read after it, is new.
func (h *History) hasNew(r roster.Roster) bool {
	return slices.ContainsFunc(r.WithNewer(), func(one roster.Roster) bool { return h.index(one) < 0 })
}

// index returns the place of a roster; one without a version is only compared
// with the newest.
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

// equal compares versions, and the entries of rosters without a version.
func equal(a, b roster.Roster) bool {
	if a.Version != b.Version {
		return false
	}
	return a.Version != 0 || slices.Equal(a.Entries, b.Entries)
}

// HeldSince returns from when on a roster in force has met the condition, if all later
// ones meet it, also those that were only read. It is false when the newest does
// not, or when none of them was in force.
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

// All returns the rosters that are remembered, oldest first.
func (h *History) All() []roster.Roster {
	list := make([]roster.Roster, 0, len(h.observations))
	for _, s := range h.observations {
		list = append(list, s.roster)
	}
	return list
}

// ActiveSince returns the rosters that may have been acted on since an instant. It is
// false when the observations do not reach back to it.
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
