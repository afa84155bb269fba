package lender

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
)

// seat is an account's share under the newest roster, and since when this daemon
// has held it under every roster that it read.
type seat struct {
	share share.Share
	held  bool
	since units.Instant
}

// shareKey names a share under the newest roster.
type shareKey struct {
	account ids.Account
	limits  settings.Account
}

// spreadKey names the holders of an account under one roster.
type spreadKey struct {
	account ids.Account
	count   int
	version ids.Offset
}

// seatOf finds an account's share and since when this daemon has held it.
func (l *Lender) seatOf(id ids.Account, limits settings.Account, r roster.Roster) seat {
	own := seat{share: share.Of(id, limits, r)}
	own.since, own.held = l.tenure.HeldSince(func(one roster.Roster) bool {
		holders := l.spread(id, share.LeaderCount(limits), one)
		return len(holders) == len(own.share.Leaders) && l.holds(one, holders)
	})
	return own
}

// spread returns the holders of an account under a roster. A roster with a version
// never changes, so its holders are found once.
func (l *Lender) spread(id ids.Account, count int, r roster.Roster) []ids.Daemon {
	find := func() []ids.Daemon { return share.Place(share.Thing(id), r, count) }
	if r.Version == 0 {
		return find()
	}
	return l.spreads.Get(spreadKey{account: id, count: count, version: r.Version}, find)
}
