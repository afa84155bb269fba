package share_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
)

func fleet(n int) roster.Roster {
	var r roster.Roster
	for i := range n {
		r.Entries = append(r.Entries, roster.Entry{Daemon: ids.Daemon(fmt.Sprintf("vm%04d", i)), Incarnation: 1, Centre: ids.Centre(fmt.Sprint(i % 13))})
	}
	return r
}

// The shares together never exceed the account's limits, the burst of each is at least
// one token, and the quota leaders are in different data centres.
func TestOf(t *testing.T) {
	cases := []struct {
		a       settings.Account
		daemons int
		leaders int
	}{
		{a: settings.Account{Rate: 10, Burst: 20}, daemons: 0, leaders: 0},
		{a: settings.Account{Rate: 10, Burst: 20}, daemons: 1, leaders: 1},
		{a: settings.Account{Rate: 10, Burst: 1}, daemons: 26, leaders: 1},
		{a: settings.Account{Rate: 10, Burst: 3}, daemons: 26, leaders: 1},
		{a: settings.Account{Rate: 10, Burst: 20}, daemons: 26, leaders: 2},
		{a: settings.Account{Rate: 5000, Burst: 5001}, daemons: 26, leaders: 4},
		{a: settings.Account{Rate: 100000, Burst: 5001}, daemons: 26, leaders: 8},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("rate %v burst %d", c.a.Rate, c.a.Burst), func(t *testing.T) {
			r := fleet(c.daemons)
			s := share.Of("andrade/school", c.a, r)
			must.SliceLen(t, c.leaders, s.Leaders)
			n := max(1, c.leaders)
			must.LessEq(t, units.Tokens(c.a.Burst)*units.Token, s.Burst*units.Tokens(n))
			must.GreaterEq(t, units.Token, s.Burst)
			centres := map[ids.Centre]bool{}
			for _, h := range s.Leaders {
				e, _ := r.Find(h)
				centres[e.Centre] = true
			}
			must.MapLen(t, c.leaders, centres)
		})
	}
}

// BenchmarkOf finds the quota leaders of one account among 2,000 daemons.
func BenchmarkOf(b *testing.B) {
	r := fleet(2000)
	for b.Loop() {
		share.Of("andrade/school", settings.Account{Rate: 10, Burst: 20}, r)
	}
}
