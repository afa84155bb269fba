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

// activeShare is one share in use.
type activeShare struct {
	bucket     loan.Bucket
	leaders    []ids.Daemon
	contention contention
	// splitSince is the offset that began this number of holders.
	splitSince ids.Offset
	// startsAt is when the share begins to fill.
	startsAt units.Instant
	lastUsed units.Instant
	// standby is set for the share of a run that has ended.
	standby bool
	giver   roster.Process
	version ids.Offset
}

// activeShare returns the share of an account, if this daemon holds one; nil when it may
// not be used before the number of holders is in force.
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

// standbyShare returns the share of a run that has ended, if this daemon keeps it.
func (l *Lender) standbyShare(now units.Instant, id ids.Account, own assignment, e replay.Entry) (*activeShare, bool) {
	sh := own.share
	s, ok := l.active[id]
	if ok && s.standby && s.splitSince == e.SplitSince {
		s.bucket.Resize(now, sh.Rate, sh.Burst)
		return s, true
	}
	l.drop(id)
	n, ok := l.claimFinal(now, id, e.SplitSince)
	if !ok {
		return nil, false
	}
	s = &activeShare{leaders: sh.Leaders, splitSince: e.SplitSince, startsAt: now, lastUsed: now, standby: true, giver: n.Giver, version: n.Version}
	s.bucket.Lifetime = batchDrainTime
	s.bucket.Inherit(now.Add(-creditedAge(n.Age)), n.Balance, n.Out, sh.Rate, sh.Burst)
	l.active[id] = s
	return s, true
}

// ownAssignment returns this daemon's share of an account, if it holds one.
func (l *Lender) ownAssignment(id ids.Account, r roster.Roster) (assignment, replay.Entry, bool) {
	limits, e, ok := l.accountLimits(id)
	if !ok {
		return assignment{}, e, false
	}
	key := assignmentKey{account: id, limits: limits}
	own := l.assignments.Get(key, func() assignment { return l.assignmentOf(id, limits, r) })
	return own, e, own.leads
}

// startShare starts a share: with the balance of the earlier holder, full when there
// was none, or else empty.
func (l *Lender) startShare(now units.Instant, id ids.Account, own assignment, e replay.Entry) *activeShare {
	sh := own.share
	s := &activeShare{leaders: sh.Leaders, splitSince: e.SplitSince, startsAt: now, lastUsed: now}
	s.bucket.Lifetime = batchDrainTime
	if n, ok := l.claimHandedOver(now, id, e.SplitSince, len(sh.Leaders)); ok {
		s.bucket.Inherit(now.Add(-creditedAge(n.Age)), n.Balance, n.Out, sh.Rate, sh.Burst)
		return s
	}
	if l.isFirstLeader(id, own, e) {
		s.bucket.Begin(now, sh.Burst, sh.Rate, sh.Burst)
		return s
	}
	start, ok := l.fillStart(own, e)
	if !ok {
		return nil
	}
	s.startsAt = start
	s.bucket.Begin(start, 0, sh.Rate, sh.Burst)
	return s
}

// creditedAge is the part of an age for which a share that was let go fills: clocks
// may differ in rate by 2%.
func creditedAge(age time.Duration) time.Duration { return age / 100 * 98 }

// fillStart returns from when on nobody else can fill or spend the share.
func (l *Lender) fillStart(own assignment, e replay.Entry) (units.Instant, bool) {
	forced, ok := l.forceHistory.knownSince(e.SplitSince)
	return max(own.since.Add(takeoverWait), forced.Add(batchDrainTime)), ok
}

// isFirstLeader reports whether nobody can have held the share before this daemon, which
// has not dropped it either.
func (l *Lender) isFirstLeader(id ids.Account, own assignment, e replay.Entry) bool {
	if e.Created != e.SplitSince || e.Created <= l.lastDrop {
		return false
	}
	n := len(own.share.Leaders)
	return l.successionOf(id, n).First(l.self(), e.Created, n)
}

// wouldBeFull reports whether a share that is dropped when it is full would be full
// again when it is next used.
func (l *Lender) wouldBeFull(now units.Instant, id ids.Account, r roster.Roster) bool {
	own, e, ok := l.ownAssignment(id, r)
	if !ok {
		return false
	}
	start, ok := l.fillStart(own, e)
	full := start.Add(own.share.Rate.Time(own.share.Burst))
	return ok && !now.Before(full)
}

// drop forgets a share that may not be full.
func (l *Lender) drop(id ids.Account) {
	if _, ok := l.active[id]; !ok {
		return
	}
	delete(l.active, id)
	l.viewer.View(func(s *replay.State) { l.lastDrop = s.Offset() })
}

// successionOf returns the history of an account's holders.
func (l *Lender) successionOf(id ids.Account, count int) succession.Succession {
	line := succession.Succession{Thing: share.Thing(id), Count: count}
	l.viewer.View(func(s *replay.State) {
		var since ids.Offset
		line.Rosters, since = s.Rosters()
		line.Complete = since == 0
	})
	return line
}

func (l *Lender) self() roster.Process {
	d, incarnation := l.lease.Self()
	return roster.Process{Daemon: d, Incarnation: incarnation}
}

// accountLimits returns an account's settings with their offsets.
func (l *Lender) accountLimits(id ids.Account) (settings.Account, replay.Entry, bool) {
	var a settings.Account
	var e replay.Entry
	var ok bool
	path := settings.PathOf(ids.TeamOf(id), settings.KindAccount, ids.NameOf(id))
	l.viewer.View(func(s *replay.State) {
		a, ok = s.Account(id)
		e, _ = s.Get(path)
	})
	return a, e, ok
}
