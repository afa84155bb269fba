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
	minLeaders     = 2
	maxLeaders     = 8
	ratePerLeader  = 2000
	burstPerLeader = 2
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
	byRate := minLeaders + int(a.Rate/ratePerLeader)
	byBurst := a.Burst / burstPerLeader
	return max(1, min(byRate, byBurst, maxLeaders))
}

// Of returns the share of an account's holders under a roster.
func Of(id ids.Account, a settings.Account, r roster.Roster) Share {
	leaders := Place(Key(id), r, LeaderCount(a))
	n := max(1, len(leaders))
	return Share{
		Rate:    a.Rate / units.Rate(n),
		Burst:   units.Tokens(a.Burst) * units.Token / units.Tokens(n),
		Leaders: leaders,
	}
}

// Key names an account for Spread.
func Key(id ids.Account) string { return "account/" + string(id) }
