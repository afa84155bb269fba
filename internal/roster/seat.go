package roster

import "balsamwharf.example/balsamwharf/internal/ids"

// Seat returns the entry when it names this incarnation of the daemon.
func (r Roster) Seat(id ids.Daemon, inc ids.Incarnation) (Entry, bool) {
	e, ok := r.Find(id)
	return e, ok && e.Incarnation == inc
}

// All returns this roster and the newer ones that are not in force yet. A daemon
// holds something only while every one of them names it: it lets go when it
// reads a newer roster, and takes only once that roster is in force.
func (r Roster) All() []Roster {
	return append([]Roster{r}, r.Next...)
}

// Holds reports whether every roster of All chooses this incarnation.
func (r Roster) Holds(id ids.Daemon, inc ids.Incarnation, choose func(Roster) ids.Daemon) bool {
	for _, one := range r.All() {
		if _, ok := one.Seat(id, inc); !ok || choose(one) != id {
			return false
		}
	}
	return true
}
