package lender

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/succession"
	"balsamwharf.example/balsamwharf/internal/units"
)

// activeShare is one share in memory.
type activeShare struct {
	bucket     loan.Bucket
	leaders    []ids.Daemon
	contention contention
	// splitSince is the offset since which the account has had this number of leaders.
	splitSince ids.Offset
	// startsAt is the instant from which the share fills.
	startsAt units.Instant
	lastUsed units.Instant
	// standby is set if this is the share of a process that has ended, from which this daemon
	// lends until a roster names the successor. Then giver is that process, and version the
	// newest roster that it had read.
	standby bool
	giver   roster.Process
	version ids.Offset
}

// activeShare returns this daemon's share of an account, and whether it has one. The share
// is nil when it may not be used yet, because the number of leaders is not in force. The
// caller holds the lock.
func (l *Lender) activeShare(now units.Instant, id ids.Account, r roster.Roster) (*activeShare, bool) {
	own, e, ok := l.ownAssignment(id, r)
	if !ok {
		return l.standbyShare(now, id, own, e)
	}
	sh := own.share
	s, ok := l.active[id]
	if ok && !s.standby && s.splitSince == e.SplitSince && len(s.leaders) == len(sh.Leaders) {
		s.bucket.Resize(now, sh.Rate, sh.Burst)
		return s, true
	}
	if ok {
		l.drop(id)
	}
	s = l.startShare(now, id, own, e)
	if s != nil {
		l.active[id] = s
	}
	return s, true
}

// standbyShare returns the share of a process that has ended, if it was handed over to this
// daemon as its standby.
func (l *Lender) standbyShare(now units.Instant, id ids.Account, own assignment, e replay.Entry) (*activeShare, bool) {
	sh := own.share
	s, ok := l.active[id]
	if ok && s.standby && s.splitSince == e.SplitSince {
		s.bucket.Resize(now, sh.Rate, sh.Burst)
		return s, true
	}
	l.drop(id)
	rs, ok := l.claimFinal(now, id, e.SplitSince)
	if !ok {
		return nil, false
	}
	s = &activeShare{leaders: sh.Leaders, splitSince: e.SplitSince, startsAt: now, lastUsed: now, standby: true, giver: rs.Giver, version: rs.Version}
	s.bucket.Lifetime = batchDrainTime
	s.bucket.Resume(now.Add(-creditedAge(rs.Age)), rs.Balance, rs.Out, sh.Rate, sh.Burst)
	l.active[id] = s
	return s, true
}

// ownAssignment returns an account's share with its settings, and whether this daemon is
// one of the quota leaders.
func (l *Lender) ownAssignment(id ids.Account, r roster.Roster) (assignment, replay.Entry, bool) {
	limits, e, ok := l.accountLimits(id)
	if !ok {
		return assignment{}, e, false
	}
	key := assignmentKey{account: id, limits: limits}
	own := l.assignments.Get(key, func() assignment { return l.assignmentOf(id, limits, r) })
	return own, e, own.leads
}

// startShare starts a share: with the balance that the earlier quota leader handed over,
// full if there can't have been an earlier leader, or else empty. It returns nil when the
// number of leaders is not in force yet.
func (l *Lender) startShare(now units.Instant, id ids.Account, own assignment, e replay.Entry) *activeShare {
	sh := own.share
	s := &activeShare{leaders: sh.Leaders, splitSince: e.SplitSince, startsAt: now, lastUsed: now}
	s.bucket.Lifetime = batchDrainTime
	if rs, ok := l.claimHandedOver(now, id, e.SplitSince, len(sh.Leaders)); ok {
		s.bucket.Resume(now.Add(-creditedAge(rs.Age)), rs.Balance, rs.Out, sh.Rate, sh.Burst)
		return s
	}
	if l.isFirstLeader(id, own, e) {
		s.bucket.Start(now, sh.Burst, sh.Rate, sh.Burst)
		return s
	}
	start, ok := l.fillStart(own, e)
	if !ok {
		return nil
	}
	s.startsAt = start
	s.bucket.Start(start, 0, sh.Rate, sh.Burst)
	return s
}

// creditedAge returns the part of a released share's age for which the share fills. It is
// less than the age because clocks may differ in rate by 2%.
func creditedAge(age time.Duration) time.Duration { return age / 100 * 98 }

// fillStart returns the instant from which no other daemon can fill the share or spend its
// tokens. It returns false when the number of leaders is not known to be in force.
func (l *Lender) fillStart(own assignment, e replay.Entry) (units.Instant, bool) {
	forced, ok := l.forceHistory.knownSince(e.SplitSince)
	return max(own.since.Add(takeoverWait), forced.Add(batchDrainTime)), ok
}

// isFirstLeader reports whether no other daemon can have had the share before this one, and
// this one has not dropped it either.
func (l *Lender) isFirstLeader(id ids.Account, own assignment, e replay.Entry) bool {
	if e.Created != e.SplitSince || e.Created <= l.lastDrop {
		return false
	}
	n := len(own.share.Leaders)
	return l.successionOf(id, n).IsFirst(l.self(), e.Created, n)
}

// wouldBeFull reports whether a full share that is evicted now would be full again when it
// is next used.
func (l *Lender) wouldBeFull(now units.Instant, id ids.Account, r roster.Roster) bool {
	own, e, ok := l.ownAssignment(id, r)
	if !ok {
		return false
	}
	start, ok := l.fillStart(own, e)
	full := start.Add(own.share.Rate.Time(own.share.Burst))
	return ok && !now.Before(full)
}

// drop removes a share that may not be full from memory.
func (l *Lender) drop(id ids.Account) {
	if _, ok := l.active[id]; !ok {
		return
	}
	delete(l.active, id)
	l.settings.View(func(s *replay.State) { l.lastDrop = s.Offset() })
}

// successionOf returns the history of an account's quota leaders.
func (l *Lender) successionOf(id ids.Account, count int) succession.Succession {
	history := succession.Succession{Key: share.Key(id), LeaderCount: count}
	l.settings.View(func(s *replay.State) {
		var since ids.Offset
		history.Rosters, since = s.Rosters()
		history.Complete = since == 0
	})
	return history
}

func (l *Lender) self() roster.Process {
	d, incarnation := l.lease.Self()
	return roster.Process{Daemon: d, Incarnation: incarnation}
}

// accountLimits returns an account's settings, and their entry with the offsets.
func (l *Lender) accountLimits(id ids.Account) (settings.Account, replay.Entry, bool) {
	var a settings.Account
	var e replay.Entry
	var ok bool
	path := settings.PathOf(ids.TeamOf(id), settings.KindAccount, ids.NameOf(id))
	l.settings.View(func(s *replay.State) {
		a, ok = s.Account(id)
		e, _ = s.Get(path)
	})
	return a, e, ok
}
