package rosterhistory_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterhistory"
	"balsamwharf.example/balsamwharf/internal/units"
)

// of returns a roster in force, with the newer ones that were read.
func of(version ids.Offset, next ...roster.Roster) roster.Roster {
	return roster.Roster{Version: version, Entries: []roster.Entry{{Daemon: "vm1"}}, Next: next}
}

func versions(h *rosterhistory.History) []ids.Offset {
	var list []ids.Offset
	for _, r := range h.All() {
		list = append(list, r.Version)
	}
	return list
}

// After a gap without observations the history must hold the rosters in their order, also
// when the one in force was known before and only a newer one was read.
func TestBroken(t *testing.T) {
	cases := []struct {
		name  string
		later roster.Roster
		want  rosterhistory.Change
		known []ids.Offset
	}{
		{name: "nothing new", later: of(5), want: rosterhistory.Unchanged, known: []ids.Offset{5}},
		{name: "a newer one in force", later: of(6), want: rosterhistory.Interrupted, known: []ids.Offset{6}},
		{name: "a newer one read", later: of(5, of(6)), want: rosterhistory.Interrupted, known: []ids.Offset{5, 6}},
		{name: "two newer ones read", later: of(5, of(6), of(7)), want: rosterhistory.Interrupted, known: []ids.Offset{5, 6, 7}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &rosterhistory.History{MaxGap: time.Second, Limit: 8}
			must.EqOp(t, rosterhistory.Changed, h.Observe(0, of(5)))
			now := units.Instant(time.Minute)
			must.EqOp(t, c.want, h.Observe(now, c.later))
			must.EqOp(t, rosterhistory.Unchanged, h.Observe(now, c.later))
			must.Eq(t, c.known, versions(h))
		})
	}
}

// A daemon that returns after a gap and reads a newer roster must not hold a role that the
// newer roster gives to another daemon.
func TestNewerRosterCounts(t *testing.T) {
	h := &rosterhistory.History{MaxGap: time.Second, Limit: 8}
	h.Observe(0, of(5))
	h.Observe(units.Instant(time.Minute), of(5, of(6)))
	h.Observe(units.Instant(time.Minute), of(5, of(6)))
	_, held := h.HeldSince(func(r roster.Roster) bool { return r.Version == 5 })
	must.False(t, held)
}
