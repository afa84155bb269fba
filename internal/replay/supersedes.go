package replay

import "balsamwharf.example/balsamwharf/internal/ids"

// Supersedes reports whether s can replace old: it is at least as new, and no
// section goes back to an earlier version.
func (s *State) Supersedes(old *State) bool {
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
