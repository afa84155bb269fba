package replay

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Digest is a hash of a State's content. Two daemons at the same offset have the
// same Digest.
type Digest uint64

// Digest returns the digest of the sections, of the recent edits and of the
// rosters. It is updated with each record and cheap to read.
func (s *State) Digest() Digest { return s.digest + s.dedup.digest + s.rosters.digest }

// digestOf hashes one section. The sum over all sections does not depend on their
// order.
func digestOf(path ids.Path, e Entry) Digest {
	var h xxhash.Digest
	h.Reset()
	writeStrings(&h, string(path))
	writeOffset(&h, e.Version)
	writeOffset(&h, e.Created)
	writeOffset(&h, e.SplitSince)
	values := settings.Values(e.Section)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		writeStrings(&h, name, values[name])
	}
	return Digest(h.Sum64())
}

// writeStrings adds texts to the hash, each preceded by its length.
func writeStrings(h *xxhash.Digest, texts ...string) {
	for _, t := range texts {
		writeOffset(h, ids.Offset(len(t)))
		_, _ = h.WriteString(t)
	}
}

func writeOffset(h *xxhash.Digest, at ids.Offset) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(at))
	_, _ = h.Write(b[:])
}
