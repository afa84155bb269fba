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
	"balsamwharf.example/balsamwharf/internal/ids"
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
	Leaders []ids.Daemon
}

// LeaderCount returns the number of holders that the limits ask for. Each one can hold
// whole tokens, unless the burst is too small for that.
func LeaderCount(a settings.Account) int {
	byRate := minHolders + int(a.Rate/ratePerHolder)
	byBurst := a.Burst / burstPerHolder
	return max(1, min(byRate, byBurst, maxHolders))
}

// Of returns the share of an account's holders under a roster.
func Of(id ids.Account, a settings.Account, r roster.Roster) Share {
	holders := Place(Thing(id), r, LeaderCount(a))
	n := max(1, len(holders))
	return Share{
		Rate:    a.Rate / units.Rate(n),
		Burst:   units.Tokens(a.Burst) * units.Token / units.Tokens(n),
		Leaders: holders,
	}
}

// Thing names an account for Spread.
func Thing(id ids.Account) string { return "account/" + string(id) }
