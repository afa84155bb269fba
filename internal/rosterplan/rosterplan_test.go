package rosterplan

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
)

func members(centres, each int) []member.Member {
	var all []member.Member
	for c := range centres {
		for i := range each {
			all = append(all, member.Member{
				Daemon:      ids.Daemon(fmt.Sprintf("c%d-%d", c, i)),
				Incarnation: 1,
				Centre:      ids.Centre(fmt.Sprintf("c%d", c)),
			})
		}
	}
	return all
}

// applyPlan applies the change that Compute returns for the members to the state.
func applyPlan(s *replay.State, live []member.Member) (roster.Roster, bool) {
	var old roster.Roster
	if rosters, _ := s.Rosters(); len(rosters) > 0 {
		old = rosters[len(rosters)-1]
	}
	change, needed := Compute(old, live)
	if !needed {
		return old, false
	}
	s.Apply(s.Offset()+1, change)
	rosters, _ := s.Rosters()
	return rosters[len(rosters)-1], true
}

func TestWitnesses(t *testing.T) {
	tests := []struct{ centres, each, want, most int }{
		{1, 1, 1, 1},
		{1, 2, 1, 1},
		{1, 9, 3, 3},
		{2, 5, 3, 2},
		{3, 9, 3, 1},
		{4, 6, 5, 2},
		{13, 150, 7, 1},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d centres of %d", tt.centres, tt.each), func(t *testing.T) {
			var s replay.State
			r, _ := applyPlan(&s, members(tt.centres, tt.each))
			must.Len(t, tt.want, r.Witnesses())
			held := map[ids.Centre]int{}
			for _, e := range r.Entries {
				if e.Witness {
					held[e.Centre]++
				}
			}
			for _, n := range held {
				must.LessEq(t, tt.most, n)
			}
			_, again := applyPlan(&s, members(tt.centres, tt.each))
			must.False(t, again)
		})
	}
}

func TestOnlyLostSeatsMove(t *testing.T) {
	var s replay.State
	live := members(3, 4)
	before, _ := applyPlan(&s, live)
	lost := before.Witnesses()[0]
	for i := range live {
		if live[i].Daemon == lost {
			live[i].Incarnation++
		}
	}
	after, changed := applyPlan(&s, live)
	must.True(t, changed)
	must.Len(t, 3, after.Witnesses())
	for _, id := range before.Witnesses()[1:] {
		must.SliceContains(t, after.Witnesses(), id)
	}
	e, _ := after.Find(lost)
	must.EqOp(t, 2, e.Incarnation)
}

func TestStaleBase(t *testing.T) {
	var s replay.State
	one, _ := Compute(roster.Roster{}, members(1, 3))
	two, _ := Compute(roster.Roster{}, members(1, 2))
	s.Apply(1, one)
	must.Eq(t, replay.Outcome(replay.Conflict{Current: 1}), s.Apply(2, two))
	rosters, _ := s.Rosters()
	must.Len(t, 1, rosters)
	must.Len(t, 3, rosters[0].Entries)
}

// Each daemon of a roster has a rank of its own, so that no two propose at once.
func TestRankIsAPermutation(t *testing.T) {
	var s replay.State
	r, _ := applyPlan(&s, members(2, 5))
	seen := map[int]bool{}
	for _, id := range r.Daemons() {
		seen[ProposerRank(r, nil, id)] = true
	}
	must.MapLen(t, 10, seen)
}

// Before the first roster each live member has a rank of its own.
func TestRankBeforeTheFirstRoster(t *testing.T) {
	live := members(2, 5)
	seen := map[int]bool{}
	for _, m := range live {
		seen[ProposerRank(roster.Roster{}, live, m.Daemon)] = true
	}
	must.MapLen(t, 10, seen)
}
