package succession_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/succession"
)

const key = "account/a/school"

// rosterOf returns a roster of daemons with these incarnations; zero leaves a daemon out.
func rosterOf(version ids.Offset, incarnations ...ids.Incarnation) roster.Roster {
	r := roster.Roster{Version: version}
	for i, inc := range incarnations {
		if inc > 0 {
			r.Entries = append(r.Entries, roster.Entry{Daemon: ids.Daemon(rune('a' + i)), Incarnation: inc, Centre: ids.Centre(rune('x' + i%2))})
		}
	}
	return r
}

func leader(r roster.Roster) roster.Process {
	d := share.Place(key, r, 1)[0]
	e, _ := r.Find(d)
	return roster.Process{Daemon: d, Incarnation: e.Incarnation}
}

func TestFate(t *testing.T) {
	full := rosterOf(1, 1, 1, 1)
	first := leader(full)
	without := full.Without(first.Daemon)
	without.Version = 2
	again := full
	again.Version = 3
	cases := []struct {
		name    string
		rosters []roster.Roster
		version ids.Offset
		want    succession.Outcome
	}{
		{"nothing newer", []roster.Roster{full}, 1, succession.Unmoved{}},
		{"a roster that was not read yet", []roster.Roster{full}, 2, succession.Unmoved{}},
		{"a roster that is forgotten", []roster.Roster{without}, 1, succession.Lost{}},
		{"the holder left", []roster.Roster{full, without}, 1, succession.Moved{To: leader(without), At: 2}},
		{"the successor lost it again", []roster.Roster{full, without, again}, 1, succession.Lost{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := succession.Succession{Rosters: c.rosters, Key: key, LeaderCount: 1}
			must.Eq(t, c.want, s.Resolve(first, c.version))
		})
	}
}

// Whichever roster follows, no process succeeds two others, and none that had a share
// before succeeds another.
func TestOneSuccessorEach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, version ids.Offset) roster.Roster {
			numbers := rapid.SliceOfN(rapid.Uint64Range(0, 3), 6, 6).Draw(t, name)
			var incarnations []ids.Incarnation
			for _, n := range numbers {
				incarnations = append(incarnations, ids.Incarnation(n))
			}
			return rosterOf(version, incarnations...)
		}
		old, next := draw("old", 1), draw("next", 2)
		s := succession.Succession{Rosters: []roster.Roster{old, next}, Key: key, LeaderCount: 2}
		taken := map[roster.Process]bool{}
		for _, d := range share.Place(key, old, 2) {
			e, _ := old.Find(d)
			taken[roster.Process{Daemon: d, Incarnation: e.Incarnation}] = true
		}
		for _, d := range share.Place(key, old, 2) {
			e, _ := old.Find(d)
			passed, ok := s.Resolve(roster.Process{Daemon: d, Incarnation: e.Incarnation}, 1).(succession.Moved)
			if !ok {
				continue
			}
			if taken[passed.To] {
				t.Fatalf("%v holds a share already", passed.To)
			}
			taken[passed.To] = true
		}
	})
}
