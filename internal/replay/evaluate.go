package replay

import (
	"fmt"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// DryRun returns the outcome that the edit would have at the offset, without
// applying it.
func (s *State) DryRun(at ids.Offset, e record.Edit) Outcome {
	_, out := s.evaluate(at, e)
	return out
}

// evaluate returns the outcome of the edit and, unless it is a removal, the section
// that an accepted edit stores.
func (s *State) evaluate(at ids.Offset, e record.Edit) (settings.Section, Outcome) {
	if reason := s.denialReason(e); reason != "" {
		return nil, Denied{Reason: reason}
	}
	if current := s.sections[e.Path].Version; current != e.Base {
		return nil, Conflict{Current: current}
	}
	if e.Remove {
		if reason := s.removalRefusal(e.Path); reason != "" {
			return nil, Invalid{Reason: reason}
		}
		return nil, Accepted{Version: at}
	}
	section, err := settings.Parse(e.Path, e.Values)
	if err != nil {
		return nil, Invalid{Reason: err.Error()}
	}
	if reason := s.clashReason(e.Path, section); reason != "" {
		return nil, Invalid{Reason: reason}
	}
	return section, Accepted{Version: at}
}

// denialReason returns why the credential does not cover the path, or "".
func (s *State) denialReason(e record.Edit) string {
	kind := settings.KindOf(e.Path)
	if kind == settings.KindNone {
		return "the path names no section"
	}
	team := settings.TeamOf(e.Path)
	if kind == settings.KindTeam {
		return s.teamDenialReason(team, e)
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

// teamDenialReason returns why the credential does not cover a team's own section,
// or "". The very first edit of the root team needs no credential.
func (s *State) teamDenialReason(team ids.Team, e record.Edit) string {
	root, ok := s.Team(RootTeam)
	if !ok && team == RootTeam {
		return ""
	}
	if !ok || root.Credential != e.Credential {
		return "only the root credential edits a team's own section"
	}
	return ""
}

// removalRefusal returns why the section must not be removed, or "". Without the
// root team anyone could set a new root credential; without its team nobody could
// withdraw the keys that remain.
func (s *State) removalRefusal(path ids.Path) string {
	if settings.KindOf(path) != settings.KindTeam {
		return ""
	}
	team := settings.TeamOf(path)
	if team == RootTeam {
		return "the root team can't be removed"
	}
	if n := s.sectionCounts[team]; n > 0 {
		return fmt.Sprintf("the team still has %d sections", n)
	}
	return ""
}

// clashReason returns why a section clashes with another one, or "". A key's hash
// is in one section only, so that removing the section withdraws the key; a host
// with a prefix belongs to one route, so that no team takes over another team's
// requests.
func (s *State) clashReason(path ids.Path, section settings.Section) string {
	switch v := section.(type) {
	case settings.Key:
		if other, ok := s.keys[v.Hash]; ok && other != path {
			return "another section holds the same hash"
		}
	case settings.Route:
		own := ids.RouteOf(settings.TeamOf(path), settings.NameOf(path))
		if other, ok := s.routes.RouteAt(v); ok && other != own {
			return fmt.Sprintf("route %q has the same host and prefix", other)
		}
	}
	return ""
}
