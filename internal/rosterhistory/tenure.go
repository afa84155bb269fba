// Package rosterhistory remembers since when this daemon has had a seat under the
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

	seen []sighting
	last units.Instant
}

// sighting is a roster with the instant at which it was first seen in force, or
// only read.
type sighting struct {
	roster roster.Roster
	force  bool
	at     units.Instant
}

// Observe takes down the roster in force and those that were read after it. It
// must be called only while the daemon is confirmed.
func (t *History) Observe(now units.Instant, r roster.Roster) Change {
	defer func() { t.last = now }()
	change := Unchanged
	if len(t.seen) > 0 && now.Sub(t.last) > t.MaxGap && t.brings(r) {
		t.seen = nil
		change = Interrupted
	}
	for i, one := range r.WithNewer() {
		if at := t.find(one); at >= 0 {
			if i == 0 && !t.seen[at].force {
				t.seen[at].force, t.seen[at].at = true, now
				change = Changed
			}
			continue
		}
		if change == Unchanged {
			change = Changed
		}
		t.seen = append(t.seen, sighting{roster: one, force: i == 0, at: now})
	}
	if len(t.seen) > t.Limit {
		t.seen = slices.Clone(t.seen[len(t.seen)-t.Limit:])
	}
	return change
}

// brings reports whether the roster, or one that was read after it, is new.
func (t *History) brings(r roster.Roster) bool {
	return slices.ContainsFunc(r.WithNewer(), func(one roster.Roster) bool { return t.find(one) < 0 })
}

// find returns the place of a roster; one without a version is only compared
// with the newest.
func (t *History) find(r roster.Roster) int {
	for i := len(t.seen) - 1; i >= 0; i-- {
		if equal(t.seen[i].roster, r) {
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
func (t *History) HeldSince(holds func(roster.Roster) bool) (units.Instant, bool) {
	var since units.Instant
	found := false
	for i := len(t.seen) - 1; i >= 0 && holds(t.seen[i].roster); i-- {
		if t.seen[i].force {
			since, found = t.seen[i].at, true
		}
	}
	return since, found
}

// All returns the rosters that are remembered, oldest first.
func (t *History) All() []roster.Roster {
	list := make([]roster.Roster, 0, len(t.seen))
	for _, s := range t.seen {
		list = append(list, s.roster)
	}
	return list
}

// ActiveSince returns the rosters that may have been acted on since an instant. It is
// false when the observations do not reach back to it.
func (t *History) ActiveSince(from units.Instant) ([]roster.Roster, bool) {
	var list []roster.Roster
	for i := len(t.seen) - 1; i >= 0; i-- {
		list = append(list, t.seen[i].roster)
		if t.seen[i].force && !from.Before(t.seen[i].at) {
			return list, true
		}
	}
	return list, false
}
