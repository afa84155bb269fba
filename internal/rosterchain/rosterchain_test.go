package rosterchain

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/readlease"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// rosterOf returns a roster whose witnesses are the named daemons in incarnation 1.
func rosterOf(version ids.Offset, witnesses ...ids.Daemon) roster.Roster {
	r := roster.Roster{Version: version}
	for _, id := range witnesses {
		r.Entries = append(r.Entries, roster.Entry{Daemon: id, Incarnation: 1, Witness: true})
	}
	return r
}

// settle advances the chain now and after SettleTime.
func settle(c *Chain) ids.Offset {
	c.Advance(0)
	return c.Advance(units.Instant(SettleTime))
}

func TestInForce(t *testing.T) {
	first := rosterOf(1, "a", "b", "c")
	second := rosterOf(3, "b", "c", "d")
	tests := []struct {
		name    string
		rosters []roster.Roster
		since   ids.Offset
		change  func(*Chain)
		want    ids.Offset
	}{
		{"before any roster, reading is enough", nil, 0, func(*Chain) {}, 5},
		{"the first roster needs no witness, the next record does", []roster.Roster{first}, 0, func(*Chain) {}, 1},
		{"a minority is not enough", []roster.Roster{first}, 0, func(c *Chain) { c.RecordRead("a", 1, 5) }, 1},
		{"a majority is", []roster.Roster{first}, 0, func(c *Chain) { c.RecordRead("a", 1, 5); c.RecordRead("b", 1, 4) }, 4},
		{"another incarnation has no seat", []roster.Roster{first}, 0, func(c *Chain) { c.RecordRead("a", 2, 5); c.RecordRead("b", 1, 5) }, 1},
		{"an ended incarnation confirms no more", []roster.Roster{first}, 0, func(c *Chain) { c.RecordIncarnation("a", 2); c.RecordRead("b", 1, 5) }, 5},
		{"an older incarnation ends nothing", []roster.Roster{first}, 0, func(c *Chain) { c.RecordIncarnation("a", 1); c.RecordRead("b", 1, 5) }, 1},
		{"a retired witness confirms no more", []roster.Roster{first}, 0, func(c *Chain) { c.RecordRetired("a", 1); c.RecordRead("b", 1, 5) }, 5},
		{"the new witnesses can't settle what the old have not", []roster.Roster{first, second}, 0, func(c *Chain) { c.RecordRead("c", 1, 5); c.RecordRead("d", 1, 5) }, 1},
		{"both majorities can", []roster.Roster{first, second}, 0, func(c *Chain) { c.RecordRead("a", 1, 3); c.RecordRead("c", 1, 5); c.RecordRead("d", 1, 5) }, 5},
		{"the old witnesses settle the roster alone", []roster.Roster{first, second}, 0, func(c *Chain) { c.RecordRead("a", 1, 5); c.RecordRead("b", 1, 3) }, 3},
		{"rosters that are missing settle nothing", []roster.Roster{second}, 3, func(c *Chain) { c.RecordRead("c", 1, 5); c.RecordRead("d", 1, 5) }, 0},
		{"what a peer knows counts", []roster.Roster{second}, 3, func(c *Chain) { c.RaiseInForce(3); c.RecordRead("c", 1, 5); c.RecordRead("d", 1, 5) }, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c Chain
			c.SetRosters(tt.rosters, tt.since, 5)
			tt.change(&c)
			must.EqOp(t, tt.want, settle(&c))
		})
	}
}

func TestNotBeforeSettle(t *testing.T) {
	var c Chain
	c.SetRosters(nil, 0, 1)
	c.Advance(0)
	must.EqOp(t, 0, c.Advance(units.Instant(SettleTime)-1))
	c.SetRosters(nil, 0, 2)
	must.EqOp(t, 1, c.Advance(units.Instant(SettleTime)))
	must.EqOp(t, 2, c.Advance(units.Instant(2*SettleTime)))
	must.Greater(t, readlease.Duration, SettleTime-time.Nanosecond)
}
