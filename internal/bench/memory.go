package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/slopes"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/usage"
)

const (
	sections = 20000
	notes    = 50000
	team     = ids.Team("school")
)

// measureMemory measures the live heap of what a daemon keeps.
func measureMemory(_ context.Context, _ effort, s *slopes.Slopes) error {
	m := &s.Memory
	m.Route = sectionSize(settings.KindRoute, func(i int) map[string]string {
		return map[string]string{"prefix": fmt.Sprintf("/path-%05d", i), "service": "payments"}
	})
	m.Account = sectionSize(settings.KindAccount, func(int) map[string]string {
		return map[string]string{"rate": "10", "burst": "20"}
	})
	m.Key = sectionSize(settings.KindKey, func(i int) map[string]string {
		return map[string]string{"hash": string(bearer.HashOf(fmt.Sprint(i))), "account": "one"}
	})
	const members = 2000
	empty := directorySize(members, 0)
	m.Member = empty / members
	m.Target = (directorySize(members, targetsPerDaemon) - empty) / (members * targetsPerDaemon)
	m.Note = noteSize()
	m.Seat = grown(func() any { return rostersOf(members) }) / members
	held, err := heldSize()
	m.Held = held
	return err
}

// targetsPerDaemon is the users' 26,000 targets over 2,000 daemons.
const targetsPerDaemon = 13

// grown returns the live heap of what a function makes.
func grown(build func() any) float64 {
	before := usage.Heap()
	made := build()
	after := usage.Heap()
	runtime.KeepAlive(made)
	return float64(after) - float64(before)
}

// sectionSize is the growth from half to twice the sections, so that what a state
// keeps of recent edits does not count.
func sectionSize(kind settings.Kind, values func(int) map[string]string) float64 {
	half := grown(func() any { return stateOf(sections, kind, values) })
	whole := grown(func() any { return stateOf(2*sections, kind, values) })
	return (whole - half) / sections
}

// stateOf returns a state with a team and its sections.
func stateOf(n int, kind settings.Kind, values func(int) map[string]string) *replay.State {
	state := &replay.State{}
	at := ids.Offset(0)
	apply := func(path ids.Path, base ids.Offset, credential string, v map[string]string) {
		at++
		state.Apply(at, record.Edit{
			ID: ids.Edit(fmt.Sprint("edit-", at)), Path: path, Base: base,
			Credential: bearer.HashOf(credential), Values: v,
		})
	}
	credential := func(of string) map[string]string {
		return map[string]string{"credential": string(bearer.HashOf(of))}
	}
	apply("teams/root", 0, "root", credential("root"))
	apply(settings.PathOf(team, settings.KindTeam, ""), 0, "root", credential("team"))
	apply(settings.PathOf(team, settings.KindService, "payments"), 0, "team", map[string]string{"floor": "60"})
	apply(settings.PathOf(team, settings.KindAccount, "one"), 0, "team", map[string]string{"rate": "10", "burst": "20"})
	for i := range n {
		apply(settings.PathOf(team, kind, fmt.Sprintf("section-%05d", i)), 0, "team", values(i))
	}
	return state
}

func directorySize(members, targets int) float64 {
	return grown(func() any {
		d := &directory.Directory{}
		for i := range members {
			d.Put(describe(i, targets))
		}
		d.Members()
		return d
	})
}

func describe(i, targets int) member.Member {
	m := member.Member{
		Daemon:      ids.Daemon(fmt.Sprintf("vm%05d", i)),
		Incarnation: ids.Incarnation(1_700_000_000_000_000_000 + i),
		Version:     1,
		Peers:       ids.Address(fmt.Sprintf("10.1.%d.%d:7300", i/256, i%256)),
		Operators:   ids.Address(fmt.Sprintf("10.1.%d.%d:7301", i/256, i%256)),
		Centre:      ids.Centre(fmt.Sprintf("centre-%02d", i%13)),
	}
	for n := range targets {
		k := i*targets + n
		m.Targets = append(m.Targets, member.Target{
			ID:      ids.Target(fmt.Sprintf("target-%05d", k)),
			Service: ids.Service(fmt.Sprintf("team%02d/service%03d", k%23, k%690)),
			Slots:   4,
		})
	}
	return m
}

// noteSize is a note without an answer; answers have a limit of their own.
func noteSize() float64 {
	return grown(func() any {
		b := &idempotency.Store{Window: 10 * time.Minute, Limit: notes, AnswerLimit: units.Bytes(1 << 20)}
		for i := range notes {
			key := idempotency.Key{Account: "school/one", Key: fmt.Sprintf("%032d", i)}
			b.Begin(0, key, idempotency.Record{Digest: bearer.HashOf(fmt.Sprint(i))})
		}
		return b
	}) / notes
}
