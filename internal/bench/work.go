package bench

import (
	"context"
	"fmt"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterplan"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/slopes"
	"balsamwharf.example/balsamwharf/internal/usage"
)

// each returns the processor time of one of n runs, in microseconds.
func each(n int, run func(i int)) float64 {
	before := usage.Now()
	for i := range n {
		run(i)
	}
	return micros(usage.Now().Since(before)) / float64(n)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// fleetSize is the daemons of the users' target.
const fleetSize = 2000

// measureWork measures steps that a daemon takes for each change.
func measureWork(_ context.Context, _ effort, s *slopes.Slopes) error {
	state := stateOf(sections, settings.KindAccount, func(int) map[string]string {
		return map[string]string{"rate": "10", "burst": "20"}
	})
	s.Work.Change = each(5000, func(i int) { renewSection(state, i) })
	full, n := rostersOf(fleetSize), 200
	s.Work.Roster = each(n, func(i int) { replaceDaemon(full, i) })
	kept, _ := full.Rosters()
	account := settings.Account{Rate: 10, Burst: 20}
	s.Work.Seating = each(1000, func(i int) {
		share.Of(ids.Account(fmt.Sprint("school/", i)), account, kept[0])
	})
	return nil
}

// renewSection edits one section of the state again.
func renewSection(state *replay.State, i int) {
	path := settings.PathOf(team, settings.KindAccount, fmt.Sprintf("section-%05d", i))
	old, _ := state.Get(path)
	data, err := record.Encode(record.Edit{
		ID: ids.Edit(fmt.Sprint("again-", i)), Path: path, Base: old.Version,
		Credential: bearer.HashOf("team"), Values: map[string]string{"rate": "11", "burst": "20"},
	})
	if err != nil {
		return
	}
	if rec, err := record.Decode(data); err == nil {
		state.Apply(state.Offset()+1, rec)
	}
}

// rostersOf returns a state that keeps as many rosters as it may.
func rostersOf(members int) *replay.State {
	const rosters = 10
	state := &replay.State{}
	var all []member.Member
	for i := range members {
		all = append(all, describe(i, 0))
	}
	change, _ := rosterplan.Compute(roster.Roster{}, all)
	state.Apply(1, change)
	for i := range rosters {
		replaceDaemon(state, i)
	}
	return state
}

// replaceDaemon puts a new incarnation of one daemon into the newest roster.
func replaceDaemon(state *replay.State, i int) {
	kept, _ := state.Rosters()
	newest := kept[len(kept)-1]
	e := newest.Entries[i%len(newest.Entries)]
	e.Incarnation++
	state.Apply(state.Offset()+1, record.Roster{Base: newest.Version, Put: []roster.Entry{e}})
}
