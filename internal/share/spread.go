package share

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// place is a daemon with its weight for one thing.
type place struct {
	daemon ids.Daemon
	centre ids.Centre
	weight uint64
}

// beats orders places by weight, and by name where weights are equal.
func (p place) beats(other place) bool {
	if p.weight != other.weight {
		return p.weight > other.weight
	}
	return p.daemon < other.daemon
}

// Place returns up to n daemons for a thing, by rendezvous hashing: first the
// best daemon of each data centre, then the best of the rest.
func Place(thing string, r roster.Roster, n int) []ids.Daemon {
	picked := bests(rendezvous.HashKey(thing), r, n)
	if len(picked) == n || len(picked) == len(r.Entries) {
		return picked
	}
	for _, d := range rendezvous.Top(thing, r.Daemons(), len(r.Entries)) {
		if len(picked) < n && !slices.Contains(picked, d) {
			picked = append(picked, d)
		}
	}
	return picked
}

// bests returns the best daemons of the n data centres that have the best ones.
// Nearly all daemons are below the last of the list and need no further look.
func bests(t rendezvous.KeyHash, r roster.Roster, n int) []ids.Daemon {
	if n <= 0 {
		return nil
	}
	list := make([]place, 0, n+1)
	for _, e := range r.Entries {
		p := place{daemon: e.Daemon, centre: e.Centre, weight: t.Weight(e.Daemon)}
		if len(list) == n && !p.beats(list[n-1]) {
			continue
		}
		list = insert(list, p)
		list = list[:min(n, len(list))]
	}
	picked := make([]ids.Daemon, 0, n)
	for _, p := range list {
		picked = append(picked, p.daemon)
	}
	return picked
}

// insert puts a place into the ordered list, which holds one of each data centre.
func insert(list []place, p place) []place {
	if at := slices.IndexFunc(list, func(o place) bool { return o.centre == p.centre }); at >= 0 {
		if !p.beats(list[at]) {
			return list
		}
		list = slices.Delete(list, at, at+1)
	}
	at := slices.IndexFunc(list, func(o place) bool { return p.beats(o) })
	if at < 0 {
		return append(list, p)
	}
	return slices.Insert(list, at, p)
}
