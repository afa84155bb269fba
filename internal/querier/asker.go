// Package querier chooses the few daemons of a data centre that ask the witnesses;
// the others ask these.
//
// # Usage
//
//	a := asker.Of(roster, centre)
//	if a.Chosen(self) { ... }
package querier

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// perCentre is how many daemons of a data centre ask the witnesses.
const perCentre = 2

// Set is the choice for one data centre.
type Set struct{ Daemons []ids.Daemon }

// Of chooses among the roster's daemons of the data centre.
func Of(r roster.Roster, centre ids.Centre) Set {
	var near []ids.Daemon
	for _, e := range r.Entries {
		if e.Centre == centre {
			near = append(near, e.Daemon)
		}
	}
	return Set{Daemons: rendezvous.Top("asker/"+string(centre), near, perCentre)}
}

// Includes reports whether the daemon asks the witnesses itself. Where nobody is
// chosen, every daemon does.
func (a Set) Includes(id ids.Daemon) bool {
	return len(a.Daemons) == 0 || slices.Contains(a.Daemons, id)
}
