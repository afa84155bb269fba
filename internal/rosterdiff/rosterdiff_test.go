package rosterdiff_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterdiff"
	"balsamwharf.example/balsamwharf/internal/share"
)

// next changes a few daemons: some leave, some come back, some move to another data
// centre.
func next(rng *rand.Rand, r roster.Roster, daemons, centres int) roster.Roster {
	changed := map[int]bool{}
	for range rng.IntN(3) {
		changed[rng.IntN(daemons)] = true
	}
	out := roster.Roster{Version: r.Version + 1}
	for i := range daemons {
		id := ids.Daemon(fmt.Sprintf("vm%03d", i))
		e, in := r.Find(id)
		if !changed[i] {
			if in {
				out.Entries = append(out.Entries, e)
			}
			continue
		}
		if !in || rng.IntN(3) == 0 {
			centre := ids.Centre(fmt.Sprint(rng.IntN(centres)))
			out.Entries = append(out.Entries, roster.Entry{Daemon: id, Incarnation: e.Incarnation + 1, Centre: centre})
		}
	}
	return out
}

// The holders equal those of share.Place under each roster, in small fleets, where
// nearly every change matters, and in larger ones.
func TestSameAsSpread(t *testing.T) {
	for _, c := range []struct{ daemons, centres, holders int }{{3, 1, 2}, {4, 2, 2}, {12, 3, 2}, {60, 5, 3}, {200, 13, 2}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(c.daemons)))
			rosters := []roster.Roster{{Version: 1}}
			for range 200 {
				rosters = append(rosters, next(rng, rosters[len(rosters)-1], c.daemons, c.centres))
			}
			s := rosterdiff.New(rosters)
			for key := range 50 {
				thing := fmt.Sprint("key", key)
				got := s.Place(thing, c.holders)
				for i, r := range rosters {
					must.Eq(t, share.Place(thing, r, c.holders), got[i])
				}
			}
		})
	}
}
