package replay

import (
	"slices"
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
)

// Frozen is an immutable copy of the state as of one offset. It shares the sections
// with the State and renders them part by part, so that the whole state is never
// held as text.
type Frozen struct {
	head    record.Snapshot
	entries []frozenEntry
}

// frozenEntry is a path with its section as of the offset.
type frozenEntry struct {
	path  ids.Path
	entry Entry
}

// Freeze returns the whole state as of now, sections in the order of their paths.
func (s *State) Freeze() *Frozen {
	f := &Frozen{entries: make([]frozenEntry, 0, len(s.sections))}
	f.head = record.Snapshot{
		As: s.offset, Logged: s.snapshot.Offset, Made: s.snapshot.WrittenAt,
		Digest: uint64(s.Digest()), Recent: s.dedup.list(),
		Rosters: slices.Clone(s.rosters.recent), Since: s.rosters.since, Settled: s.rosters.inForce,
	}
	for path, e := range s.sections {
		f.entries = append(f.entries, frozenEntry{path: path, entry: e})
	}
	slices.SortFunc(f.entries, func(a, b frozenEntry) int { return strings.Compare(string(a.path), string(b.path)) })
	return f
}

// Offset returns the offset of the state.
func (f *Frozen) Offset() ids.Offset { return f.head.As }

// Version returns the version of the section at the path; zero when there is none.
func (f *Frozen) Version(path ids.Path) ids.Offset {
	for _, p := range f.entries {
		if p.path == path {
			return p.entry.Version
		}
	}
	return 0
}

// Parts returns the number of parts.
func (f *Frozen) Parts() int {
	return max(1, (len(f.entries)+record.PartSections-1)/record.PartSections)
}

// Part returns part i, counted from 0, as a record. It returns false if there is no
// such part.
func (f *Frozen) Part(i int) (record.Snapshot, bool) {
	if i < 0 || i >= f.Parts() {
		return record.Snapshot{}, false
	}
	part := f.head
	part.Part, part.Parts = i, f.Parts()
	if i > 0 {
		part.Recent = nil
		part.Rosters = nil
	}
	from := i * record.PartSections
	for _, p := range f.entries[from:min(from+record.PartSections, len(f.entries))] {
		part.Sections = append(part.Sections, sectionOf(p))
	}
	return part, true
}

func sectionOf(p frozenEntry) record.Section {
	return record.Section{
		Path: p.path, Version: p.entry.Version, Created: p.entry.Created, Split: p.entry.SplitSince,
		Values: p.entry.Values(),
	}
}
