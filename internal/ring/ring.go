// Package ring selects the peers with which a daemon exchanges messages regularly.
//
// # Usage
//
//	peers := ring.New(all).Peers("vm7")
//
// All daemons are on a ring in the order of the hashes of their names. The peers of
// a daemon are those 1, 2, 4, 8, ... places after it, so that updates reach
// everyone in a logarithmic number of steps over connections that stay open.
// Neighbours on the ring are unrelated in location, so the failure of a rack or a
// data centre does not take all peers of a daemon with it.
package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Ring is the daemons in ring order. The zero Ring is empty.
type Ring struct{ places []place }

type place struct {
	hash uint64
	id   ids.Daemon
}

// New returns a ring of the daemons.
func New(daemons []ids.Daemon) Ring {
	places := make([]place, 0, len(daemons))
	for _, d := range daemons {
		places = append(places, place{hash: xxhash.Sum64String(string(d)), id: d})
	}
	slices.SortFunc(places, compare)
	return Ring{places: places}
}

func compare(a, b place) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// Peers returns the daemons 1, 2, 4, ... places after id, nearest first. The id
// itself need not be on the ring.
func (r Ring) Peers(id ids.Daemon) []ids.Daemon {
	own := place{hash: xxhash.Sum64String(string(id)), id: id}
	at, found := slices.BinarySearchFunc(r.places, own, compare)
	others := len(r.places)
	if found {
		others--
	} else {
		at--
	}
	var peers []ids.Daemon
	for step := 1; step <= others; step *= 2 {
		peers = append(peers, r.places[(at+step+len(r.places))%len(r.places)].id)
	}
	return peers
}
