// Package rendezvous assigns things to daemons by highest random weight, so that
// a change of one daemon moves only what that daemon held.
//
// # Usage
//
//	first := rendezvous.Top("andrade/school", roster.Daemons(), 2)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// scored is a daemon with its weight for one thing.
type scored struct {
	id     ids.Daemon
	weight uint64
}

// Top returns the n daemons with the highest weights for the thing, highest first.
func Top(thing string, daemons []ids.Daemon, n int) []ids.Daemon {
	all := make([]scored, 0, len(daemons))
	t := ThingOf(thing)
	for _, d := range daemons {
		all = append(all, scored{id: d, weight: t.Weight(d)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	top := make([]ids.Daemon, 0, n)
	for _, s := range all[:min(n, len(all))] {
		top = append(top, s.id)
	}
	return top
}

// Thing is the hash of a thing, for the weights of many daemons.
type Thing uint64

// ThingOf hashes a thing.
func ThingOf(thing string) Thing { return Thing(xxhash.Sum64String(thing)) }

// Weight returns the weight of a daemon for the thing. The two hashes are mixed by
// the finalizer of splitmix64, so that things share no order of daemons.
func (t Thing) Weight(d ids.Daemon) uint64 {
	x := uint64(t)*0x9e3779b97f4a7c15 + xxhash.Sum64String(string(d))
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
