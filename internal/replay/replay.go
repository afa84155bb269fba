// Package replay computes the shared settings from the records of the log.
//
// # Usage
//
//	var s replay.State
//	outcome := s.Apply(offset, rec)
//	switch o := outcome.(type) {
//	case replay.Accepted:
//	case replay.Conflict:
//	}
//
// The same records in the same order give the same State on every daemon. The zero
// State is the state before the first record. A State is not safe for concurrent
// use; package tail guards it with a lock.
package replay

import (
	"maps"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/routetable"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
)

// RootTeam may edit every team's own section. The first edit of its section needs
// no credential; later ones need the root credential.
const RootTeam ids.Team = "root"

// Entry is one section with its version.
type Entry struct {
	Section settings.Section
	Version ids.Offset
	// Created is the offset of the edit that created the section; later edits retain
	// it. It is zero when a section at the path was removed shortly before.
	Created ids.Offset
	// SplitSince is the offset since which the limits of a client account have been
	// split over the same number of quota leaders. For other sections it is the offset
	// of their first edit.
	SplitSince ids.Offset
}

// Values returns the names of the section that differ from their defaults.
func (e Entry) Values() map[string]string { return settings.Values(e.Section) }

// State is the shared settings as of an offset.
type State struct {
	offset        ids.Offset
	sections      map[ids.Path]Entry
	sectionCounts map[ids.Team]int
	keys          map[ids.Hash]ids.Path
	routes        routetable.Table
	dedup         dedupTable
	digest        Digest
	snapshot      SnapshotInfo
	rosters       rosters
}

// SnapshotInfo describes the newest complete snapshot on the log.
type SnapshotInfo struct {
	// Offset is the offset of the state in the snapshot; zero when there is none.
	Offset ids.Offset
	// WrittenAt is the wall clock time of the daemon that wrote it.
	WrittenAt time.Time
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() ids.Offset { return s.offset }

// LatestSnapshot returns the newest complete snapshot that the state has seen.
func (s *State) LatestSnapshot() SnapshotInfo { return s.snapshot }

// Apply applies the record at the offset. Records at or before the state's offset
// are skipped, so that reading them again is harmless. A record that is not the
// next one returns Gap and changes nothing.
func (s *State) Apply(at ids.Offset, rec record.Record) Outcome {
	if at <= s.offset {
		return Skipped{}
	}
	if at != s.offset+1 {
		return Gap{Next: s.offset + 1}
	}
	s.init()
	s.offset = at
	switch r := rec.(type) {
	case record.Edit:
		return s.applyEdit(at, r)
	case record.Snapshot:
		s.recordSnapshot(r)
		return Skipped{}
	case record.Roster:
		return s.rosters.apply(at, r)
	default:
		return Skipped{}
	}
}

func (s *State) init() {
	if s.sections == nil {
		s.sections = map[ids.Path]Entry{}
		s.sectionCounts = map[ids.Team]int{}
		s.keys = map[ids.Hash]ids.Path{}
	}
}

// recordSnapshot records the newest snapshot once it is complete. Parts are
// appended in order, so the last part completes it.
func (s *State) recordSnapshot(part record.Snapshot) {
	if part.Part == part.Parts-1 && part.As > s.snapshot.Offset {
		s.snapshot = SnapshotInfo{Offset: part.As, WrittenAt: part.Made}
	}
}

// applyEdit evaluates one edit and applies it if it is accepted.
func (s *State) applyEdit(at ids.Offset, e record.Edit) Outcome {
	if _, ok := s.dedup.find(e.ID); ok {
		return Duplicate{}
	}
	section, out := s.evaluate(at, e)
	if _, ok := out.(Accepted); ok {
		s.put(e.Path, s.nextEntry(at, e.Path, section))
	}
	s.dedup.add(e, out)
	return out
}

// nextEntry returns the entry that an accepted edit stores at a path.
func (s *State) nextEntry(at ids.Offset, path ids.Path, section settings.Section) Entry {
	entry := Entry{Section: section, Version: at, Created: at, SplitSince: at}
	old, ok := s.sections[path]
	if !ok {
		if s.dedup.removedRecently(path) {
			entry.Created = 0
		}
		return entry
	}
	entry.Created = old.Created
	if leaderCount(old.Section) == leaderCount(section) {
		entry.SplitSince = old.SplitSince
	}
	return entry
}

// leaderCount returns over how many quota leaders the limits of a section are
// split.
func leaderCount(section settings.Section) int {
	a, ok := section.(settings.Account)
	if !ok {
		return 0
	}
	return share.LeaderCount(a)
}

// put stores an entry, or removes the present one when the new one has no section.
func (s *State) put(path ids.Path, entry Entry) {
	s.remove(path)
	section := entry.Section
	if section == nil {
		return
	}
	s.sections[path] = entry
	s.digest += digestOf(path, entry)
	team := settings.TeamOf(path)
	switch v := section.(type) {
	case settings.Key:
		s.keys[v.Hash] = path
	case settings.Route:
		s.routes.Put(ids.RouteOf(team, settings.NameOf(path)), v)
	}
	if settings.KindOf(path) != settings.KindTeam {
		s.sectionCounts[team]++
	}
}

// remove removes a section if there is one.
func (s *State) remove(path ids.Path) {
	old, ok := s.sections[path]
	if !ok {
		return
	}
	delete(s.sections, path)
	s.digest -= digestOf(path, old)
	team := settings.TeamOf(path)
	switch v := old.Section.(type) {
	case settings.Key:
		delete(s.keys, v.Hash)
	case settings.Route:
		s.routes.Remove(ids.RouteOf(team, settings.NameOf(path)))
	}
	if settings.KindOf(path) == settings.KindTeam {
		return
	}
	s.sectionCounts[team]--
	if s.sectionCounts[team] == 0 {
		delete(s.sectionCounts, team)
	}
}

// Get returns the section at the path.
func (s *State) Get(path ids.Path) (Entry, bool) {
	e, ok := s.sections[path]
	return e, ok
}

// Paths returns the paths of all sections in order.
func (s *State) Paths() []ids.Path { return slices.Sorted(maps.Keys(s.sections)) }

// Outcome returns the outcome of the edit if it is retained.
func (s *State) Outcome(id ids.Edit) (Outcome, bool) { return s.dedup.find(id) }

// Match returns the route for a host and a path.
func (s *State) Match(host, path string) (routetable.Match, bool) { return s.routes.Match(host, path) }

// AccountByKey returns the client account of the API key with the hash.
func (s *State) AccountByKey(h ids.Hash) (ids.Account, bool) {
	path, ok := s.keys[h]
	if !ok {
		return "", false
	}
	key, ok := s.sections[path].Section.(settings.Key)
	return ids.AccountOf(settings.TeamOf(path), key.Account), ok
}

// Service returns the settings of a service.
func (s *State) Service(id ids.Service) (settings.Service, bool) {
	return find[settings.Service](s, settings.KindService, id)
}

// Account returns the settings of a client account.
func (s *State) Account(id ids.Account) (settings.Account, bool) {
	return find[settings.Account](s, settings.KindAccount, id)
}

// Team returns a team's own section.
func (s *State) Team(id ids.Team) (settings.Team, bool) {
	e, ok := s.sections[settings.PathOf(id, settings.KindTeam, "")]
	if !ok {
		return settings.Team{}, false
	}
	t, ok := e.Section.(settings.Team)
	return t, ok
}

func find[T settings.Section, ID ~string](s *State, kind settings.Kind, id ID) (T, bool) {
	var none T
	team := ids.TeamOf(id)
	if len(team) >= len(id) {
		return none, false
	}
	e, ok := s.sections[settings.PathOf(team, kind, string(id)[len(team)+1:])]
	if !ok {
		return none, false
	}
	v, ok := e.Section.(T)
	return v, ok
}
