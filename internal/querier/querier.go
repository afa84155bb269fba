// Package querier selects the few daemons of a data centre that query the witnesses.
// The others query these, which bounds the load on the witnesses.
//
// # Usage
//
//	queriers := querier.Of(roster, centre)
//	if queriers.Includes(self) { ... }
package querier

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// queriersPerCentre is the number of daemons of a data centre that query the witnesses.
const queriersPerCentre = 2

// Set holds the queriers of one data centre.
type Set struct{ Daemons []ids.Daemon }

// Of selects the queriers among the roster's daemons in the data centre.
func Of(r roster.Roster, centre ids.Centre) Set {
	var inCentre []ids.Daemon
	for _, e := range r.Entries {
		if e.Centre == centre {
			inCentre = append(inCentre, e.Daemon)
		}
	}
	return Set{Daemons: rendezvous.Top("asker/"+string(centre), inCentre, queriersPerCentre)}
}

// Includes reports whether the daemon queries the witnesses itself. Every daemon does
// when the set is empty.
func (s Set) Includes(id ids.Daemon) bool {
	return len(s.Daemons) == 0 || slices.Contains(s.Daemons, id)
}
