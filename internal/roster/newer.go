package roster

import "balsamwharf.example/balsamwharf/internal/ids"

// FindIncarnation returns the entry when it names this incarnation of the daemon.
func (r Roster) FindIncarnation(id ids.Daemon, inc ids.Incarnation) (Entry, bool) {
	e, ok := r.Find(id)
	return e, ok && e.Incarnation == inc
}

// WithNewer returns this roster and the newer ones that are not in force yet. A daemon
// holds something only while every one of them names it: it lets go when it
// reads a newer roster, and takes only once that roster is in force.
func (r Roster) WithNewer() []Roster {
	return append([]Roster{r}, r.Next...)
}

// ChosenByAll reports whether every roster of All chooses this incarnation.
func (r Roster) ChosenByAll(id ids.Daemon, inc ids.Incarnation, choose func(Roster) ids.Daemon) bool {
	for _, one := range r.WithNewer() {
		if _, ok := one.FindIncarnation(id, inc); !ok || choose(one) != id {
			return false
		}
	}
	return true
}
