// Package rosterplan decides how the roster should change and who the witnesses are.
//
// # Usage
//
//	change, needed := seats.Plan(roster, live)
//	before := seats.Rank(roster, live, self)
//
// Everybody who knows the same members plans the same change.
package rosterplan

import (
	"cmp"
	"fmt"
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
)

const (
	fewestWitnesses = 3
	mostWitnesses   = 7
)

// Compute returns the change that makes the roster name the live members. It is
// false when the roster already does.
func Compute(r roster.Roster, live []member.Member) (record.Roster, bool) {
	change := record.Roster{Base: r.Version}
	wanted := map[ids.Daemon]roster.Entry{}
	for _, m := range live {
		wanted[m.Daemon] = entry(r, m)
	}
	seat(wanted)
	for _, e := range r.Entries {
		if _, ok := wanted[e.Daemon]; !ok {
			change.Remove = append(change.Remove, e.Daemon)
		}
	}
	for _, e := range wanted {
		if old, ok := r.Find(e.Daemon); !ok || old != e {
			change.Put = append(change.Put, e)
		}
	}
	slices.SortFunc(change.Put, func(a, b roster.Entry) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return change, len(change.Put)+len(change.Remove) > 0
}

// entry describes a member. A witness keeps its seat while its incarnation and
// its data centre stay the same.
func entry(r roster.Roster, m member.Member) roster.Entry {
	e := roster.Entry{Daemon: m.Daemon, Incarnation: m.Incarnation, Centre: m.Centre, Region: m.Region}
	old, ok := r.FindIncarnation(m.Daemon, m.Incarnation)
	e.Witness = ok && old.Witness && old.Centre == m.Centre
	return e
}

// seat fills empty seats, and takes surplus ones back.
func seat(entries map[ids.Daemon]roster.Entry) {
	want := WitnessCount(entries)
	for {
		held := count(entries)
		total := 0
		for _, n := range held {
			total += n
		}
		switch {
		case total < want:
			set(entries, pick(entries, held, false), true)
		case total > want:
			set(entries, pick(entries, held, true), false)
		default:
			return
		}
	}
}

func set(entries map[ids.Daemon]roster.Entry, id ids.Daemon, seated bool) {
	e := entries[id]
	e.Witness = seated
	entries[id] = e
}

// pick returns the daemon that gains a seat, from the data centre with the
// fewest, or that loses one, from the data centre with the most.
func pick(entries map[ids.Daemon]roster.Entry, held map[ids.Centre]int, seated bool) ids.Daemon {
	var fit []ids.Daemon
	best := 0
	for id, e := range entries {
		n := held[e.Centre]
		if seated {
			n = -n
		}
		if e.Witness != seated || (len(fit) > 0 && n > best) {
			continue
		}
		if len(fit) > 0 && n < best {
			fit = fit[:0]
		}
		best = n
		fit = append(fit, id)
	}
	return rendezvous.Top("witness", fit, 1)[0]
}

func count(entries map[ids.Daemon]roster.Entry) map[ids.Centre]int {
	held := map[ids.Centre]int{}
	for _, e := range entries {
		if e.Witness {
			held[e.Centre]++
		}
	}
	return held
}

// WitnessCount returns how many witnesses the daemons should have: three in one
// data centre, else one for each up to seven, and always an odd number.
func WitnessCount(entries map[ids.Daemon]roster.Entry) int {
	centres := map[ids.Centre]bool{}
	for _, e := range entries {
		centres[e.Centre] = true
	}
	want := min(max(len(centres), fewestWitnesses), mostWitnesses)
	if want%2 == 0 {
		want++
	}
	have := len(entries)
	if have > 0 && have%2 == 0 {
		have--
	}
	return min(want, have)
}

// ProposerRank returns how many daemons come before this one in proposing the successor
// of the roster. Before the first roster it goes by the members that are known,
// so that a whole fleet that starts does not propose at once.
func ProposerRank(r roster.Roster, live []member.Member, self ids.Daemon) int {
	all := r.Daemons()
	if len(all) == 0 {
		for _, m := range live {
			all = append(all, m.Daemon)
		}
	}
	if !slices.Contains(all, self) {
		all = append(all, self)
	}
	order := rendezvous.Top(fmt.Sprintf("seating/%d", r.Version), all, len(all))
	return slices.Index(order, self)
}
