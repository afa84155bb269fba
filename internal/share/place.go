package share

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// candidate is a daemon with its weight for one key.
type candidate struct {
	daemon ids.Daemon
	centre ids.Centre
	weight uint64
}

// outranks compares by weight, and by name where weights are equal.
func (p candidate) outranks(other candidate) bool {
	if p.weight != other.weight {
		return p.weight > other.weight
	}
	return p.daemon < other.daemon
}

// Place returns up to n daemons for a key, by rendezvous hashing: first the daemon of
// highest weight in each data centre, then the highest of the rest.
func Place(key string, r roster.Roster, n int) []ids.Daemon {
	picked := bestPerCentre(rendezvous.HashKey(key), r, n)
	if len(picked) == n || len(picked) == len(r.Entries) {
		return picked
	}
	for _, d := range rendezvous.Top(key, r.Daemons(), len(r.Entries)) {
		if len(picked) < n && !slices.Contains(picked, d) {
			picked = append(picked, d)
		}
	}
	return picked
}

// bestPerCentre returns the daemon of highest weight in each data centre, and of these
// the n highest. Most daemons rank below the last of the list, so one comparison is
// enough for them.
func bestPerCentre(t rendezvous.KeyHash, r roster.Roster, n int) []ids.Daemon {
	if n <= 0 {
		return nil
	}
	list := make([]candidate, 0, n+1)
	for _, e := range r.Entries {
		p := candidate{daemon: e.Daemon, centre: e.Centre, weight: t.Weight(e.Daemon)}
		if len(list) == n && !p.outranks(list[n-1]) {
			continue
		}
		list = insertCandidate(list, p)
		list = list[:min(n, len(list))]
	}
	picked := make([]ids.Daemon, 0, n)
	for _, p := range list {
		picked = append(picked, p.daemon)
	}
	return picked
}

// insertCandidate inserts a candidate into the ordered list, which holds at most one of
// each data centre.
func insertCandidate(list []candidate, p candidate) []candidate {
	if at := slices.IndexFunc(list, func(o candidate) bool { return o.centre == p.centre }); at >= 0 {
		if !p.outranks(list[at]) {
			return list
		}
		list = slices.Delete(list, at, at+1)
	}
	at := slices.IndexFunc(list, func(o candidate) bool { return p.outranks(o) })
	if at < 0 {
		return append(list, p)
	}
	return slices.Insert(list, at, p)
}
