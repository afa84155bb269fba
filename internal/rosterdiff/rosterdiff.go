// Package rosterdiff finds the daemons that hold many keys under many rosters
// that differ little from each other.
//
// # Usage
//
//	s := rosterdiff.New(rosters) // once for each new roster
//	holders := s.Spread("guard/a/key", 2)
//
// The result equals that of share.Place for each roster. A roster is not evaluated
// if it changes neither a holder nor a daemon that could outweigh one.
package rosterdiff

import (
	"cmp"
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/share"
)

// Sequence is a list of rosters with the differences between neighbours. The zero
// value has none.
type Sequence struct {
	rosters []roster.Roster
	// changed[i] names the daemons that are in only one of the rosters i and i+1, or
	// in different data centres.
	changed [][]ids.Daemon
}

// New compares each roster with the next one.
func New(rosters []roster.Roster) Sequence {
	s := Sequence{rosters: rosters}
	for i := 1; i < len(rosters); i++ {
		s.changed = append(s.changed, changedDaemons(rosters[i-1].Entries, rosters[i].Entries))
	}
	return s
}

// changedDaemons returns the daemons in which two lists, both in order of names,
// differ.
func changedDaemons(a, b []roster.Entry) []ids.Daemon {
	var list []ids.Daemon
	for len(a) > 0 && len(b) > 0 {
		switch order := cmp.Compare(a[0].Daemon, b[0].Daemon); {
		case order < 0:
			list, a = append(list, a[0].Daemon), a[1:]
		case order > 0:
			list, b = append(list, b[0].Daemon), b[1:]
		default:
			if a[0].Centre != b[0].Centre {
				list = append(list, a[0].Daemon)
			}
			a, b = a[1:], b[1:]
		}
	}
	for _, e := range append(slices.Clone(a), b...) {
		list = append(list, e.Daemon)
	}
	return list
}

// Place returns the n holders of a key under each roster, in the order of the
// rosters.
func (s Sequence) Place(key string, n int) [][]ids.Daemon {
	weights := rendezvous.HashKey(key)
	all := make([][]ids.Daemon, 0, len(s.rosters))
	for i, r := range s.rosters {
		if i > 0 && s.unchanged(weights, all[i-1], i-1, n) {
			all = append(all, all[i-1])
			continue
		}
		all = append(all, share.Place(key, r, n))
	}
	return all
}

// unchanged reports whether the holders under roster i are also those under the
// next one: they are in different data centres, and no daemon that changed is one
// of them or outweighs the last.
func (s Sequence) unchanged(weights rendezvous.KeyHash, holders []ids.Daemon, i, n int) bool {
	if len(s.changed[i]) == 0 {
		return true
	}
	if len(holders) < n || !inDistinctCentres(s.rosters[i], holders) {
		return false
	}
	least := weights.Weight(holders[n-1])
	for _, d := range s.changed[i] {
		if slices.Contains(holders, d) || weights.Weight(d) >= least {
			return false
		}
	}
	return true
}

// inDistinctCentres reports whether the daemons are in different data centres.
func inDistinctCentres(r roster.Roster, daemons []ids.Daemon) bool {
	seen := map[ids.Centre]bool{}
	for _, d := range daemons {
		e, _ := r.Find(d)
		if seen[e.Centre] {
			return false
		}
		seen[e.Centre] = true
	}
	return true
}
