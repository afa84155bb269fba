package replay

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// maxRosters bounds the rosters retained. A roster is proposed only once the one
// before is in force, so more than two are rare.
const maxRosters = 8

// rosters holds the newest rosters, oldest first.
type rosters struct {
	recent []roster.Roster
	// since is the offset from which on no roster is missing.
	since ids.Offset
	// inForce is an offset in force according to a snapshot. It is not part of the
	// digest, because daemons learn of it at different times.
	inForce ids.Offset
	digest  Digest
}

// newest returns the roster as of the last record.
func (r *rosters) newest() roster.Roster {
	if len(r.recent) == 0 {
		return roster.Roster{}
	}
	return r.recent[len(r.recent)-1]
}

// load starts from the rosters of a snapshot's first part.
func (r *rosters) load(part record.Snapshot) {
	r.recent = slices.Clone(part.Rosters)
	r.since = part.Since
	r.inForce = part.Settled
	r.digest = r.sum()
}

// sum hashes the versions and the entries of all retained rosters; it is 0 when
// there is none.
func (r *rosters) sum() Digest {
	if len(r.recent) == 0 {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	writeOffset(&h, r.since)
	for _, one := range r.recent {
		writeOffset(&h, one.Version)
		for _, e := range one.Entries {
			writeStrings(&h, string(e.Daemon), string(e.Centre), string(e.Region), strconv.FormatBool(e.Witness))
			writeOffset(&h, ids.Offset(e.Incarnation))
		}
	}
	return Digest(h.Sum64())
}

// apply appends the changed roster unless the change has a stale base.
func (r *rosters) apply(at ids.Offset, change record.Roster) Outcome {
	old := r.newest()
	if change.Base != old.Version {
		return Conflict{Current: old.Version}
	}
	entries := map[ids.Daemon]roster.Entry{}
	for _, e := range old.Entries {
		entries[e.Daemon] = e
	}
	for _, id := range change.Remove {
		delete(entries, id)
	}
	for _, e := range change.Put {
		entries[e.Daemon] = e
	}
	next := roster.Roster{Version: at}
	for _, e := range entries {
		next.Entries = append(next.Entries, e)
	}
	slices.SortFunc(next.Entries, func(a, b roster.Entry) int { return cmp.Compare(a.Daemon, b.Daemon) })
	r.recent = append(r.recent, next)
	if len(r.recent) > maxRosters {
		r.recent = slices.Clone(r.recent[1:])
		r.since = r.recent[0].Version
	}
	r.digest = r.sum()
	return Accepted{Version: at}
}

// Rosters returns the newest rosters, oldest first, and the offset from which on
// none is missing. The caller must not change the rosters.
func (s *State) Rosters() (newest []roster.Roster, since ids.Offset) {
	return slices.Clone(s.rosters.recent), s.rosters.since
}

// KnownInForce returns an offset that was in force when a snapshot was written, or
// zero.
func (s *State) KnownInForce() ids.Offset { return s.rosters.inForce }
