package roster

import (
	"cmp"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Process is one incarnation of a daemon, from its start to its end.
type Process struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
}

// Compare orders processes by daemon and incarnation.
func (r Process) Compare(other Process) int {
	return cmp.Or(cmp.Compare(r.Daemon, other.Daemon), cmp.Compare(r.Incarnation, other.Incarnation))
}

// Without returns the roster without some daemons.
func (r Roster) Without(gone ...ids.Daemon) Roster {
	rest := Roster{Version: r.Version}
	for _, e := range r.Entries {
		keep := true
		for _, d := range gone {
			keep = keep && e.Daemon != d
		}
		if keep {
			rest.Entries = append(rest.Entries, e)
		}
	}
	return rest
}
