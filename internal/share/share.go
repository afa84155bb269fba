// Package share splits a client account's rate and burst over a few holders.
//
// # Usage
//
//	s := share.Of(account, limits, roster)
//	for _, h := range s.Holders { ... }
//
// Every daemon with the same roster and settings computes the same share.
package share

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	minHolders     = 2
	maxHolders     = 8
	ratePerHolder  = 2000
	burstPerHolder = 2
)

// Share is what each holder of one account has.
type Share struct {
	Rate    units.Rate
	Burst   units.Tokens
	Holders []ids.Daemon
}

// Count returns the number of holders that the limits ask for. Each one can hold
// whole tokens, unless the burst is too small for that.
func Count(a settings.Account) int {
	byRate := minHolders + int(a.Rate/ratePerHolder)
	byBurst := a.Burst / burstPerHolder
	return max(1, min(byRate, byBurst, maxHolders))
}

// Of returns the share of an account's holders under a roster.
func Of(id ids.Account, a settings.Account, r roster.Roster) Share {
	holders := Spread(Thing(id), r, Count(a))
	n := max(1, len(holders))
	return Share{
		Rate:    a.Rate / units.Rate(n),
		Burst:   units.Tokens(a.Burst) * units.Token / units.Tokens(n),
		Holders: holders,
	}
}

// Thing names an account for Spread.
func Thing(id ids.Account) string { return "account/" + string(id) }

// Spread returns up to n daemons for a thing, by rendezvous hashing: first the
// best daemon of each data centre, then the best of the rest.
func Spread(thing string, r roster.Roster, n int) []ids.Daemon {
	centres := map[ids.Daemon]ids.Centre{}
	for _, e := range r.Entries {
		centres[e.Daemon] = e.Centre
	}
	all := rendezvous.Top(thing, r.Daemons(), len(r.Entries))
	used := map[ids.Centre]bool{}
	var picked []ids.Daemon
	for _, d := range all {
		if len(picked) < n && !used[centres[d]] {
			used[centres[d]] = true
			picked = append(picked, d)
		}
	}
	for _, d := range all {
		if len(picked) < n && !slices.Contains(picked, d) {
			picked = append(picked, d)
		}
	}
	return picked
}
