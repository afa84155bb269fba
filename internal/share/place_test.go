package share_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/share"
)

// placeBySorting does what Place does, by sorting all daemons.
func placeBySorting(key string, r roster.Roster, n int) []ids.Daemon {
	order := rendezvous.Top(key, r.Daemons(), len(r.Entries))
	best := map[ids.Centre]ids.Daemon{}
	for _, d := range order {
		e, _ := r.Find(d)
		if _, ok := best[e.Centre]; !ok {
			best[e.Centre] = d
		}
	}
	picked := rendezvous.Top(key, slices.Collect(maps.Values(best)), n)
	for _, d := range order {
		if len(picked) < n && !slices.Contains(picked, d) {
			picked = append(picked, d)
		}
	}
	return picked
}

func rosterOf(daemons, centres int) roster.Roster {
	var r roster.Roster
	for i := range daemons {
		r.Entries = append(r.Entries, roster.Entry{
			Daemon: ids.Daemon(fmt.Sprintf("vm%05d", i)),
			Centre: ids.Centre(fmt.Sprintf("c%d", i%centres)),
		})
	}
	return r
}

// Place returns the same daemons as sorting all of them does.
func TestSpreadEqualsSorting(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		r := rosterOf(rng.IntN(40), 1+rng.IntN(6))
		n := 1 + rng.IntN(8)
		key := fmt.Sprint("thing", i)
		must.Eq(t, placeBySorting(key, r, n), share.Place(key, r, n))
	}
}

func BenchmarkSpread(b *testing.B) {
	r := rosterOf(2000, 13)
	for i := range b.N {
		share.Place(fmt.Sprint("account/", i), r, 2)
	}
}
