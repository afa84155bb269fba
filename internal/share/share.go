// Package share splits a client account's rate and burst over a few quota leaders.
//
// # Usage
//
//	s := share.Of(account, limits, roster)
//	for _, leader := range s.Leaders { ... }
//
// All daemons with the same roster and settings compute the same share.
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

// Share is the part of an account's limits that each of its quota leaders has.
type Share struct {
	Rate    units.Rate
	Burst   units.Tokens
	Leaders []ids.Daemon
}

// LeaderCount returns the number of quota leaders for the limits of an account. It
// leaves each of them a burst of whole tokens, unless the account's burst is too small
// for that.
func LeaderCount(a settings.Account) int {
	byRate := minLeaders + int(a.Rate/ratePerLeader)
	byBurst := a.Burst / burstPerLeader
	return max(1, min(byRate, byBurst, maxLeaders))
}

// Of returns the share of each quota leader of an account under a roster. There are
// fewer than LeaderCount when the roster has fewer daemons.
func Of(id ids.Account, a settings.Account, r roster.Roster) Share {
	leaders := Place(Key(id), r, LeaderCount(a))
	n := max(1, len(leaders))
	return Share{
		Rate:    a.Rate / units.Rate(n),
		Burst:   units.Tokens(a.Burst) * units.Token / units.Tokens(n),
		Leaders: leaders,
	}
}

// Key returns the key under which Place finds the quota leaders of an account.
func Key(id ids.Account) string { return "account/" + string(id) }
