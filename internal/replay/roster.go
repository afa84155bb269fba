package replay

import (
	"cmp"
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// maxRosters bounds the rosters kept. A roster is proposed only once the one
// before is in force, so more than two are rare.
const maxRosters = 8

// rosters holds the newest rosters, oldest first.
type rosters struct {
	kept []roster.Roster
	// since is the offset from which on no roster is missing.
	since ids.Offset
	// settled is the version of the roster that came in a snapshot.
	settled ids.Offset
}

// newest returns the roster as of the last record.
func (r *rosters) newest() roster.Roster {
	if len(r.kept) == 0 {
		return roster.Roster{}
	}
	return r.kept[len(r.kept)-1]
}

// load starts from a snapshot's roster.
func (r *rosters) load(from roster.Roster) {
	if from.Version == 0 {
		return
	}
	r.kept = []roster.Roster{from}
	r.since = from.Version
	r.settled = from.Version
}

// apply makes a new roster unless the change has a stale base.
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
	r.kept = append(r.kept, next)
	if len(r.kept) > maxRosters {
		r.kept = slices.Clone(r.kept[1:])
		r.since = r.kept[0].Version
	}
	return Accepted{Version: at}
}

// Rosters returns the newest rosters, oldest first, and the offset from which on
// none is missing. The rosters must not be changed.
func (s *State) Rosters() (kept []roster.Roster, since ids.Offset) {
	return slices.Clone(s.rosters.kept), s.rosters.since
}

// Settled returns the version of the roster that a snapshot proved to be in
// force, or zero.
func (s *State) Settled() ids.Offset { return s.rosters.settled }
