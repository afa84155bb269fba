// Package roster describes which daemons take part in shared decisions.
//
// # Usage
//
//	r := checker.Roster()
//	holders := rendezvous.Top(string(account), r.Daemons(), 2)
//
//	if r.ChosenByAll(self, incarnation, func(one roster.Roster) ids.Daemon { ... }) { spend }
//
// A roster is made by a record of the log and counts once that record is in force.
// Daemons learn that at different times, so a daemon that holds a key must be
// chosen by the roster in force and by every newer one that was read: see
// ChosenByAll.
package roster

import (
	"cmp"
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Roster is the list of daemons as of a record. The zero Roster is empty.
type Roster struct {
	// Version is the offset of the record that made this roster.
	Version ids.Offset
	// Entries are in order of Daemon. They must not be changed.
	Entries []Entry
	// Next holds newer rosters that were read but are not known to be in force, oldest
	// first.
	Next []Roster
}

// Entry is one daemon of a roster. A restarted daemon has another incarnation and
// is not the one that the roster names.
type Entry struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
	Centre      ids.Centre
	Region      ids.Region
	// Witness is set for the few daemons that answer quorum reads while the log is
	// unavailable.
	Witness bool
}

// Find returns the entry of a daemon, in any incarnation.
func (r Roster) Find(id ids.Daemon) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(r.Entries, id, func(e Entry, id ids.Daemon) int { return cmp.Compare(e.Daemon, id) })
	if !ok {
		return Entry{}, false
	}
	return r.Entries[i], true
}

// Daemons returns the names in order.
func (r Roster) Daemons() []ids.Daemon {
	all := make([]ids.Daemon, 0, len(r.Entries))
	for _, e := range r.Entries {
		all = append(all, e.Daemon)
	}
	return all
}

// Witnesses returns the names of the witnesses in order.
func (r Roster) Witnesses() []ids.Daemon {
	var all []ids.Daemon
	for _, e := range r.Entries {
		if e.Witness {
			all = append(all, e.Daemon)
		}
	}
	return all
}
