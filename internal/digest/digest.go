// Package digest hashes the member versions that a daemon knows in each data
// centre, so that two daemons can compare them at little cost.
//
// # Usage
//
//	d := digest.Of(members)
//	for _, centre := range d.Diff(other) { ... }
package digest

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
)

// Digest holds one sum for each data centre.
type Digest map[ids.Centre]uint64

// Of returns the digest of the members' versions. Their order does not matter.
func Of(members []member.Member) Digest {
	d := Digest{}
	for _, m := range members {
		d.Toggle(m)
	}
	return d
}

// Toggle adds the member's version, or removes it if it was added before. Both are
// the same operation, and a data centre without members has no sum.
func (d Digest) Toggle(m member.Member) {
	d[m.Centre] ^= sum(m)
	if d[m.Centre] == 0 {
		delete(d, m.Centre)
	}
}

func sum(m member.Member) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(m.Daemon))
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(numbers[8:], m.Version)
	_, _ = h.Write(numbers[:])
	return h.Sum64()
}

// Diff returns the data centres for which the digests differ, in order.
func (d Digest) Diff(other Digest) []ids.Centre {
	var list []ids.Centre
	for c, s := range d {
		if other[c] != s {
			list = append(list, c)
		}
	}
	for c := range other {
		if _, ok := d[c]; !ok {
			list = append(list, c)
		}
	}
	slices.Sort(list)
	return list
}
