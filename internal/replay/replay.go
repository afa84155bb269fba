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
// The same records in the same order give the same State on every daemon. The
// zero State is the state before the first record. A State is not safe for
// concurrent use; package tail guards it.
package replay

import (
	"maps"
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/routetable"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// RootTeam may edit every team's own section. The first edit of its section
// needs no credential; later ones need the root credential.
const RootTeam ids.Team = "root"

// recentEdits is how many edit ids are kept to recognise repeats.
const recentEdits = 4096

// Entry is one section with its version.
type Entry struct {
	Section settings.Section
	Values  map[string]string
	Version ids.Offset
}

// State is the shared settings as of an offset.
type State struct {
	offset   ids.Offset
	sections map[ids.Path]Entry
	recent   map[ids.Edit]Outcome
	order    []ids.Edit
	keys     map[ids.Hash]ids.Account
	routes   routetable.Table
	rosters  rosters
}

// Offset returns the offset of the last record applied.
func (s *State) Offset() ids.Offset { return s.offset }

// Apply applies the record at the offset. Records at or before the state's
// offset are skipped, so that a repeated read is harmless.
func (s *State) Apply(at ids.Offset, rec record.Record) Outcome {
	if at <= s.offset {
		return Skipped{}
	}
	s.init()
	switch r := rec.(type) {
	case record.Edit:
		out := s.edit(at, r)
		s.offset = at
		return out
	case record.Snapshot:
		if s.offset == 0 {
			s.load(r)
		}
		s.offset = at
		return Skipped{}
	case record.Roster:
		out := s.rosters.apply(at, r)
		s.offset = at
		return out
	default:
		s.offset = at
		return Skipped{}
	}
}

func (s *State) init() {
	if s.sections == nil {
		s.sections = map[ids.Path]Entry{}
		s.recent = map[ids.Edit]Outcome{}
		s.keys = map[ids.Hash]ids.Account{}
	}
}

// edit rules on one edit and applies it when it is accepted.
func (s *State) edit(at ids.Offset, e record.Edit) Outcome {
	if _, ok := s.recent[e.ID]; ok {
		return Repeated{}
	}
	out := s.Judge(at, e)
	if _, ok := out.(Accepted); ok {
		s.put(at, e)
	}
	s.remember(e.ID, out)
	return out
}

// Judge says what the edit would do at the offset, without applying it.
func (s *State) Judge(at ids.Offset, e record.Edit) Outcome {
	if reason := s.denied(e); reason != "" {
		return Denied{Reason: reason}
	}
	current := s.sections[e.Path].Version
	if current != e.Base {
		return Conflict{Current: current}
	}
	if e.Remove {
		return Accepted{Version: at}
	}
	if _, err := settings.Parse(e.Path, e.Values); err != nil {
		return Invalid{Reason: err.Error()}
	}
	return Accepted{Version: at}
}

// denied returns why the credential does not cover the path, or "".
func (s *State) denied(e record.Edit) string {
	kind := settings.KindOf(e.Path)
	if kind == settings.KindNone {
		return "the path names no section"
	}
	team := settings.TeamOf(e.Path)
	if kind == settings.KindTeam {
		root, ok := s.Team(RootTeam)
		if !ok && team == RootTeam {
			return ""
		}
		if !ok || root.Credential != e.Credential {
			return "only the root credential edits a team's own section"
		}
		return ""
	}
	owner, ok := s.Team(team)
	if !ok {
		return "the team does not exist"
	}
	if owner.Credential != e.Credential {
		return "the credential is not the team's"
	}
	return ""
}

func (s *State) put(at ids.Offset, e record.Edit) {
	s.unindex(e.Path)
	if e.Remove {
		delete(s.sections, e.Path)
		return
	}
	section, err := settings.Parse(e.Path, e.Values)
	if err != nil {
		return
	}
	s.sections[e.Path] = Entry{Section: section, Values: maps.Clone(e.Values), Version: at}
	s.index(e.Path, section)
}

func (s *State) remember(id ids.Edit, out Outcome) {
	s.recent[id] = out
	s.order = append(s.order, id)
	if len(s.order) > recentEdits {
		delete(s.recent, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *State) index(path ids.Path, section settings.Section) {
	team := settings.TeamOf(path)
	switch v := section.(type) {
	case settings.Key:
		s.keys[v.Hash] = ids.AccountOf(team, v.Account)
	case settings.Route:
		s.routes.Put(ids.RouteOf(team, settings.NameOf(path)), v)
	}
}

func (s *State) unindex(path ids.Path) {
	old, ok := s.sections[path]
	if !ok {
		return
	}
	switch v := old.Section.(type) {
	case settings.Key:
		delete(s.keys, v.Hash)
	case settings.Route:
		s.routes.Remove(ids.RouteOf(settings.TeamOf(path), settings.NameOf(path)))
	}
}

// load replaces the state by a snapshot.
func (s *State) load(snap record.Snapshot) {
	for _, sec := range snap.Sections {
		parsed, err := settings.Parse(sec.Path, sec.Values)
		if err != nil {
			continue
		}
		s.sections[sec.Path] = Entry{Section: parsed, Values: sec.Values, Version: sec.Version}
		s.index(sec.Path, parsed)
	}
	s.rosters.load(snap.Roster)
	for _, id := range snap.Recent {
		s.remember(id, Skipped{})
	}
}

// Snapshot returns all sections as a record, in the order of their paths.
func (s *State) Snapshot() record.Snapshot {
	snap := record.Snapshot{As: s.offset, Recent: slices.Clone(s.order), Roster: s.rosters.newest()}
	for _, path := range slices.Sorted(maps.Keys(s.sections)) {
		e := s.sections[path]
		snap.Sections = append(snap.Sections, record.Section{Path: path, Version: e.Version, Values: e.Values})
	}
	return snap
}

// Get returns the section at the path.
func (s *State) Get(path ids.Path) (Entry, bool) {
	e, ok := s.sections[path]
	return e, ok
}

// Paths returns the paths of all sections in order.
func (s *State) Paths() []ids.Path { return slices.Sorted(maps.Keys(s.sections)) }

// Outcome returns what the edit did, when it is known.
func (s *State) Outcome(id ids.Edit) (Outcome, bool) {
	o, ok := s.recent[id]
	return o, ok
}

// Match returns the route for a host and a path.
func (s *State) Match(host, path string) (routetable.Match, bool) { return s.routes.Match(host, path) }

// Key returns the account that the key's hash stands for.
func (s *State) Key(h ids.Hash) (ids.Account, bool) {
	a, ok := s.keys[h]
	return a, ok
}

// Service returns a service's settings.
func (s *State) Service(id ids.Service) (settings.Service, bool) {
	return find[settings.Service](s, settings.KindService, id)
}

// Account returns a client account's settings.
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
