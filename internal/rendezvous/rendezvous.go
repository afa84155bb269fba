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
	for _, d := range daemons {
		all = append(all, scored{id: d, weight: weight(thing, d)})
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

func weight(thing string, d ids.Daemon) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(thing)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}
