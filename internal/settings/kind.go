package settings

import (
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Kind is the kind of a section of the shared settings.
type Kind string

// The values of Kind are the path segments that identify them.
const (
	KindTeam    Kind = "teams"
	KindService Kind = "services"
	KindRoute   Kind = "routes"
	KindAccount Kind = "accounts"
	KindKey     Kind = "keys"
	KindNone    Kind = ""
)

// KindOf returns the kind of the section at the path, or KindNone if no section can have
// the path.
func KindOf(path ids.Path) Kind {
	segments := strings.Split(string(path), "/")
	for _, p := range segments {
		if !isSegment(p) {
			return KindNone
		}
	}
	if segments[0] != string(KindTeam) {
		return KindNone
	}
	switch len(segments) {
	case 2:
		return KindTeam
	case 4:
		switch k := Kind(segments[2]); k {
		case KindService, KindRoute, KindAccount, KindKey:
			return k
		}
	}
	return KindNone
}

// maxSegmentBytes is the maximum length of one segment of a path.
const maxSegmentBytes = 128

// isSegment reports whether the string can be a path segment: letters, digits, dots,
// dashes and underscores.
func isSegment(segment string) bool {
	if segment == "" || len(segment) > maxSegmentBytes {
		return false
	}
	for _, c := range []byte(segment) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// TeamOf returns the team whose subtree contains the path, or an empty name if the path
// has no second segment. It does not check the path.
func TeamOf(path ids.Path) ids.Team {
	segments := strings.Split(string(path), "/")
	if len(segments) < 2 {
		return ""
	}
	return ids.Team(segments[1])
}

// NameOf returns the last segment of the path.
func NameOf(path ids.Path) string {
	return string(path[strings.LastIndex(string(path), "/")+1:])
}

// PathOf returns the path of a section of the team. For KindTeam it is the team's own
// section, and name is not used.
func PathOf(team ids.Team, kind Kind, name string) ids.Path {
	if kind == KindTeam {
		return ids.Path("teams/" + string(team))
	}
	return ids.Path("teams/" + string(team) + "/" + string(kind) + "/" + name)
}
