// Package rendezvous assigns keys to daemons by rendezvous hashing (highest random
// weight): when a daemon leaves, only the keys that were assigned to it move.
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

// scored is a daemon with its weight for one key.
type scored struct {
	id     ids.Daemon
	weight uint64
}

// Top returns the n daemons with the highest weights for the key, highest first.
func Top(key string, daemons []ids.Daemon, n int) []ids.Daemon {
	best := make([]scored, 0, n+1)
	t := HashKey(key)
	for _, d := range daemons {
		s := scored{id: d, weight: t.Weight(d)}
		if len(best) == n && (n == 0 || !s.before(best[n-1])) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compare)
		best = slices.Insert(best, at, s)
		best = best[:min(n, len(best))]
	}
	top := make([]ids.Daemon, 0, len(best))
	for _, s := range best {
		top = append(top, s.id)
	}
	return top
}

func (s scored) before(other scored) bool { return compare(s, other) < 0 }

// compare orders by weight, highest first, and by id where weights are equal.
func compare(a, b scored) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}

// KeyHash is the hash of a key, computed once for the weights of many daemons.
type KeyHash uint64

// HashKey hashes a key.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// Weight returns the weight of a daemon for the key. The finalizer of splitmix64
// mixes the hashes of key and daemon, so that the order of the daemons differs from
// key to key.
func (t KeyHash) Weight(d ids.Daemon) uint64 {
	x := uint64(t)*0x9e3779b97f4a7c15 + xxhash.Sum64String(string(d))
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
