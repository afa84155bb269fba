// Package tenure remembers since when this daemon has had a seat under the
// rosters that it saw.
//
// # Usage
//
//	changed := t.Observe(now, roster) // only while confirmed
//	since, ok := t.Since(func(r roster.Roster) bool { return holds(r) })
package tenure

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
	// Same means that the roster is the one observed before.
	Same Change = "same"
	// Next means that it is another roster.
	Next Change = "next"
	// Broken means that it is another roster after a time without observations,
	// in which others may have been in force. What came before is forgotten.
	Broken Change = "broken"
)

// Tenure is a list of rosters with the instants of their first observation.
type Tenure struct {
	// Gap is the longest time without observation in which no other roster can
	// have given anything out.
	Gap time.Duration
	// Limit is how many rosters are remembered.
	Limit int

	seen []sighting
	last units.Instant
}

type sighting struct {
	roster roster.Roster
	at     units.Instant
}

// Observe takes down the roster in force. It must be called only while the
// daemon is confirmed.
func (t *Tenure) Observe(now units.Instant, r roster.Roster) Change {
	defer func() { t.last = now }()
	if len(t.seen) > 0 && equal(t.seen[len(t.seen)-1].roster, r) {
		return Same
	}
	change := Next
	if len(t.seen) > 0 && now.Sub(t.last) > t.Gap {
		t.seen = nil
		change = Broken
	}
	t.seen = append(t.seen, sighting{roster: r, at: now})
	if len(t.seen) > t.Limit {
		t.seen = slices.Clone(t.seen[len(t.seen)-t.Limit:])
	}
	return change
}

// equal compares versions, and the entries of rosters without a version.
func equal(a, b roster.Roster) bool {
	if a.Version != b.Version {
		return false
	}
	return a.Version != 0 || slices.Equal(a.Entries, b.Entries)
}

// Since returns from when on the condition has held for every roster observed,
// up to the newest; it is false when the newest does not meet it.
func (t *Tenure) Since(holds func(roster.Roster) bool) (units.Instant, bool) {
	var since units.Instant
	found := false
	for i := len(t.seen) - 1; i >= 0 && holds(t.seen[i].roster); i-- {
		since, found = t.seen[i].at, true
	}
	return since, found
}

// Within returns the rosters that were the newest at some time since an instant.
// It is false when the observations do not reach back to it.
func (t *Tenure) Within(from units.Instant) ([]roster.Roster, bool) {
	var list []roster.Roster
	for i := len(t.seen) - 1; i >= 0; i-- {
		list = append(list, t.seen[i].roster)
		if !from.Before(t.seen[i].at) {
			return list, true
		}
	}
	return list, false
}
