package lender

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
)

// assignment is an account's share under the newest roster. If leads is set, this daemon
// has been one of its quota leaders since that instant, under every roster that it read.
type assignment struct {
	share share.Share
	leads bool
	since units.Instant
}

// assignmentKey identifies a share under the newest roster.
type assignmentKey struct {
	account ids.Account
	limits  settings.Account
}

// leaderListKey identifies the quota leaders of an account under one roster.
type leaderListKey struct {
	account ids.Account
	count   int
	version ids.Offset
}

// assignmentOf returns an account's share, and since when this daemon has been one of its
// quota leaders.
func (l *Lender) assignmentOf(id ids.Account, limits settings.Account, r roster.Roster) assignment {
	own := assignment{share: share.Of(id, limits, r)}
	own.since, own.leads = l.history.HeldSince(func(one roster.Roster) bool {
		leaders := l.leadersOf(id, share.LeaderCount(limits), one)
		return len(leaders) == len(own.share.Leaders) && l.leads(one, leaders)
	})
	return own
}

// leadersOf returns the quota leaders of an account under a roster. A roster with a
// version never changes, so its leaders are cached.
func (l *Lender) leadersOf(id ids.Account, count int, r roster.Roster) []ids.Daemon {
	find := func() []ids.Daemon { return share.Place(share.Key(id), r, count) }
	if r.Version == 0 {
		return find()
	}
	return l.leaderLists.Get(leaderListKey{account: id, count: count, version: r.Version}, find)
}
