// Package rosterplan computes the change of the roster that brings it in line with
// the live members, and which of them are witnesses.
//
// # Usage
//
//	change, needed := rosterplan.Compute(roster, live)
//	rank := rosterplan.ProposerRank(roster, live, self)
//
// Daemons that know the same members compute the same change.
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
	minWitnesses = 3
	maxWitnesses = 7
)

// Compute returns the change that makes the roster name exactly the live members. It
// returns false when the roster does so already.
func Compute(r roster.Roster, live []member.Member) (record.Roster, bool) {
	change := record.Roster{Base: r.Version}
	wanted := map[ids.Daemon]roster.Entry{}
	for _, m := range live {
		wanted[m.Daemon] = entryFor(r, m)
	}
	assignWitnesses(wanted)
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

// entryFor returns the roster entry of a member. A witness stays one while its
// incarnation and its data centre stay the same.
func entryFor(r roster.Roster, m member.Member) roster.Entry {
	e := roster.Entry{Daemon: m.Daemon, Incarnation: m.Incarnation, Centre: m.Centre, Region: m.Region}
	old, ok := r.FindIncarnation(m.Daemon, m.Incarnation)
	e.Witness = ok && old.Witness && old.Centre == m.Centre
	return e
}

// assignWitnesses adds witnesses, or removes surplus ones, up to WitnessCount.
func assignWitnesses(entries map[ids.Daemon]roster.Entry) {
	want := WitnessCount(entries)
	for {
		perCentre := witnessesPerCentre(entries)
		total := 0
		for _, n := range perCentre {
			total += n
		}
		switch {
		case total < want:
			setWitness(entries, pickDaemon(entries, perCentre, false), true)
		case total > want:
			setWitness(entries, pickDaemon(entries, perCentre, true), false)
		default:
			return
		}
	}
}

func setWitness(entries map[ids.Daemon]roster.Entry, id ids.Daemon, witness bool) {
	e := entries[id]
	e.Witness = witness
	entries[id] = e
}

// pickDaemon returns the daemon to make a witness, from a data centre with the fewest
// witnesses, or, if witness is true, the witness to remove, from a data centre with
// the most.
func pickDaemon(entries map[ids.Daemon]roster.Entry, perCentre map[ids.Centre]int, witness bool) ids.Daemon {
	var candidates []ids.Daemon
	best := 0
	for id, e := range entries {
		n := perCentre[e.Centre]
		if witness {
			n = -n
		}
		if e.Witness != witness || (len(candidates) > 0 && n > best) {
			continue
		}
		if len(candidates) > 0 && n < best {
			candidates = candidates[:0]
		}
		best = n
		candidates = append(candidates, id)
	}
	return rendezvous.Top("witness", candidates, 1)[0]
}

func witnessesPerCentre(entries map[ids.Daemon]roster.Entry) map[ids.Centre]int {
	perCentre := map[ids.Centre]int{}
	for _, e := range entries {
		if e.Witness {
			perCentre[e.Centre]++
		}
	}
	return perCentre
}

// WitnessCount returns how many witnesses a roster of these daemons has: one for each
// data centre, at least three and at most seven, rounded up to an odd number. With fewer
// daemons it is the largest odd number that they allow.
func WitnessCount(entries map[ids.Daemon]roster.Entry) int {
	centres := map[ids.Centre]bool{}
	for _, e := range entries {
		centres[e.Centre] = true
	}
	want := min(max(len(centres), minWitnesses), maxWitnesses)
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
// of the roster. Before the first roster the rank is among the live members, so that
// the daemons of a fleet that starts don't all propose at once.
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
