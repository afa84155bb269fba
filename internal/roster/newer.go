package roster

import "balsamwharf.example/balsamwharf/internal/ids"

// FindIncarnation returns the entry of a daemon, and whether it names this
// incarnation.
func (r Roster) FindIncarnation(id ids.Daemon, inc ids.Incarnation) (Entry, bool) {
	e, ok := r.Find(id)
	return e, ok && e.Incarnation == inc
}

// WithNewer returns this roster and the newer ones that are not in force yet. A
// daemon holds a key only while every one of them chooses it: it releases the key
// when it reads a newer roster that doesn't, and acquires a key only once the
// roster that chooses it is in force.
func (r Roster) WithNewer() []Roster {
	return append([]Roster{r}, r.Next...)
}

// ChosenByAll reports whether every roster of WithNewer names this incarnation and
// chooses its daemon.
func (r Roster) ChosenByAll(id ids.Daemon, inc ids.Incarnation, choose func(Roster) ids.Daemon) bool {
	for _, one := range r.WithNewer() {
		if _, ok := one.FindIncarnation(id, inc); !ok || choose(one) != id {
			return false
		}
	}
	return true
}
