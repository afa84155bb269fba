package replay

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// TeamByCredential returns the team whose credential has the hash. The middle
// result means that there is no root credential yet; it is always false here.
func (s *State) TeamByCredential(h ids.Hash) (team ids.Team, first, ok bool) {
	for path, e := range s.sections {
		if t, isTeam := e.Section.(settings.Team); isTeam && t.Credential == h {
			return settings.TeamOf(path), false, true
		}
	}
	return "", false, false
}
