package guard

import (
	"fmt"
	"testing"

	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterdiff"
	"balsamwharf.example/balsamwharf/internal/rosterhistory"
	"balsamwharf.example/balsamwharf/internal/units"
)

// still is the lease of a daemon that is always confirmed.
type still struct{ leasecheck.Checker }

func (still) Self() (ids.Daemon, ids.Incarnation) { return "vm0000", 1 }

// restartRosters returns rosters of which each has one more restarted daemon.
func restartRosters(daemons, rosters int) []roster.Roster {
	now := roster.Roster{}
	for i := range daemons {
		now.Entries = append(now.Entries, roster.Entry{
			Daemon: ids.Daemon(fmt.Sprintf("vm%04d", i)), Incarnation: 1, Centre: ids.Centre(fmt.Sprint(i % 13)),
		})
	}
	var list []roster.Roster
	for i := range rosters {
		next := roster.Roster{Version: ids.Offset(i + 1), Entries: append([]roster.Entry(nil), now.Entries...)}
		next.Entries[i+1].Incarnation++
		now = next
		list = append(list, next)
	}
	return list
}

// BenchmarkNewKey measures finding the pairs of a new key under the rosters of the
// window.
func BenchmarkNewKey(b *testing.B) {
	for _, rosters := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(rosters, " rosters"), func(b *testing.B) {
			list := restartRosters(2000, rosters)
			g := &Guard{lease: still{}, history: rosterhistory.History{MaxGap: Window, Limit: maxRosters}}
			for i, r := range list {
				g.history.Observe(units.Instant(i+1), r)
			}
			g.sequence = rosterdiff.New(g.history.All())
			newest := list[len(list)-1]
			now := units.Instant(Window) + 1
			n := 0
			for b.Loop() {
				n++
				key := idempotency.Key{Account: "andrade/school", Key: fmt.Sprint(n)}
				p := g.findPairs(key)
				g.uncoveredRosters(now, key, p)
				g.settled(now, key, newest, p)
			}
		})
	}
}
