package replay

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Snapshot returns the whole state as a record, sections in the order of their
// paths.
func (s *State) Snapshot() record.Snapshot {
	snap := record.Snapshot{
		As: s.offset, Logged: s.snapshot.As, Made: s.snapshot.Made,
		Parts: 1, Digest: uint64(s.Digest()), Recent: s.memory.list(),
	}
	for _, path := range slices.Sorted(maps.Keys(s.sections)) {
		e := s.sections[path]
		snap.Sections = append(snap.Sections, record.Section{Path: path, Version: e.Version, Values: e.Values()})
	}
	return snap
}

// Load returns the state as of a whole snapshot. The next record to apply is the
// one after snap.As, even when the snapshot itself stands later on the log.
func Load(snap record.Snapshot) (*State, error) {
	s := &State{}
	s.init()
	for _, sec := range snap.Sections {
		section, err := settings.Parse(sec.Path, sec.Values)
		if err != nil {
			return nil, errorx.Decorate(err, "load snapshot as of %d", snap.As)
		}
		s.put(sec.Version, sec.Path, section)
	}
	for _, r := range snap.Recent {
		s.memory.keep(r)
	}
	if s.Digest() != Digest(snap.Digest) {
		return nil, errorx.IllegalFormat.New("snapshot as of %d has digest %x, but its content has %x", snap.As, snap.Digest, uint64(s.Digest()))
	}
	s.offset = snap.As
	s.snapshot = Taken{As: snap.Logged, Made: snap.Made}
	return s, nil
}

// Follows reports whether s can take the place of old: it is newer and no
// section goes back to an earlier version.
func (s *State) Follows(old *State) bool {
	if s.offset < old.offset {
		return false
	}
	for path, e := range s.sections {
		if e.Version < old.sections[path].Version {
			return false
		}
	}
	return true
}

// Version returns the version of the section at the path; zero when there is none.
func (s *State) Version(path ids.Path) ids.Offset { return s.sections[path].Version }
