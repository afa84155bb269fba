// Package tenure says whether a daemon has been the only steward for long enough.
//
// # Usage
//
//	var t tenure.Tenure
//	t.Note(now, standing.Confirmed(), standing.Roster())
//	if t.Settled(now, self, "andrade/payments", floor.Lease+floor.Margin) { ... }
//
// The steward of a service is the first daemon by rendezvous over the roster in
// force. A new steward can't know what its predecessor granted, so it grants
// nothing until all of that has lapsed: it must have been the steward by every
// roster of that time. A gap in the observations, for example because the process
// was paused, starts the wait again, since another may have been steward meanwhile.
package tenure

import (
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// maxGap is the longest time between two observations. It must be shorter than
	// the time for which a roster is in force.
	maxGap = time.Second
	// memory is how long rosters are remembered.
	memory = 10 * time.Second
)

// Tenure remembers the rosters of the last seconds. The zero value has seen none.
type Tenure struct {
	confirmed bool
	since     units.Instant
	last      units.Instant
	seen      []term
}

// term is a roster with the time until which it was seen in force.
type term struct {
	roster roster.Roster
	last   units.Instant
}

// StewardOf returns the steward of a service by the roster.
func StewardOf(r roster.Roster, id ids.Service) (ids.Daemon, bool) {
	top := rendezvous.Top("steward "+string(id), r.Daemons(), 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}

// Note observes whether the daemon is confirmed, and the roster in force.
func (t *Tenure) Note(now units.Instant, confirmed bool, r roster.Roster) {
	if confirmed && (!t.confirmed || now.Sub(t.last) > maxGap) {
		t.since = now
		t.seen = nil
	}
	t.confirmed = confirmed
	t.last = now
	if confirmed {
		t.remember(now, r)
	}
}

func (t *Tenure) remember(now units.Instant, r roster.Roster) {
	t.seen = slices.DeleteFunc(t.seen, func(s term) bool { return now.Sub(s.last) > memory })
	if n := len(t.seen); n > 0 && same(t.seen[n-1].roster, r) {
		t.seen[n-1].last = now
		return
	}
	t.seen = append(t.seen, term{roster: r, last: now})
}

func same(a, b roster.Roster) bool {
	return a.Version == b.Version && slices.Equal(a.Entries, b.Entries)
}

// Settled reports whether the daemon has been the steward of the service for the
// wait, which must be shorter than ten seconds.
func (t *Tenure) Settled(now units.Instant, self ids.Daemon, id ids.Service, wait time.Duration) bool {
	if !t.confirmed || now.Sub(t.last) > maxGap || now.Sub(t.since) < wait {
		return false
	}
	for _, s := range t.seen {
		if now.Sub(s.last) > wait+maxGap {
			continue
		}
		if steward, ok := StewardOf(s.roster, id); !ok || steward != self {
			return false
		}
	}
	return true
}
