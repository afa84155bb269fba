package lender

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
)

// assignment is an account's share under the newest roster, and since when this daemon
// has held it under every roster that it read.
type assignment struct {
	share share.Share
	leads bool
	since units.Instant
}

// assignmentKey names a share under the newest roster.
type assignmentKey struct {
	account ids.Account
	limits  settings.Account
}

// leaderListKey names the holders of an account under one roster.
type leaderListKey struct {
	account ids.Account
	count   int
	version ids.Offset
}

// assignmentOf finds an account's share and since when this daemon has held it.
func (l *Lender) assignmentOf(id ids.Account, limits settings.Account, r roster.Roster) assignment {
	own := assignment{share: share.Of(id, limits, r)}
	own.since, own.leads = l.tenure.HeldSince(func(one roster.Roster) bool {
		holders := l.leadersOf(id, share.LeaderCount(limits), one)
		return len(holders) == len(own.share.Leaders) && l.leads(one, holders)
	})
	return own
}

// leadersOf returns the holders of an account under a roster. A roster with a version
// never changes, so its holders are found once.
func (l *Lender) leadersOf(id ids.Account, count int, r roster.Roster) []ids.Daemon {
	find := func() []ids.Daemon { return share.Place(share.Thing(id), r, count) }
	if r.Version == 0 {
		return find()
	}
	return l.leaderLists.Get(leaderListKey{account: id, count: count, version: r.Version}, find)
}
