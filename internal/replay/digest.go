package replay

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Digest is a hash of a State's content. Two daemons at one offset have the same
// Digest.
type Digest uint64

// Digest returns the digest of the sections, of the remembered edits and of the
// rosters. It is kept up to date with each record and costs nothing to read.
func (s *State) Digest() Digest { return s.digest + s.dedup.digest + s.rosters.digest }

// digestOf hashes one section. The sum over all sections does not depend on the
// order in which they came.
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

// writeStrings adds texts to the hash, each with its length.
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
