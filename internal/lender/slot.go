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

// slot is one share in use.
type slot struct {
	holding loan.Bucket
	holders []ids.Daemon
	askers  askers
	// split is the offset that began this number of holders.
	split ids.Offset
	// starts is when the share begins to fill.
	starts units.Instant
	used   units.Instant
	// entrusted is set for the share of a run that has ended.
	entrusted bool
	giver     roster.Process
	version   ids.Offset
}

// slot returns the share of an account, if this daemon holds one; nil when it may
// not be used before the number of holders is in force.
func (l *Lender) slot(now units.Instant, id ids.Account, r roster.Roster) (*slot, bool) {
	own, e, ok := l.own(id, r)
	if !ok {
		return l.entrust(now, id, own, e)
	}
	sh := own.share
	s, ok := l.slots[id]
	if ok && !s.entrusted && s.split == e.SplitSince && len(s.holders) == len(sh.Leaders) {
		s.holding.Resize(now, sh.Rate, sh.Burst)
		return s, true
	}
	if ok {
		l.drop(id)
	}
	s = l.begin(now, id, own, e)
	if s != nil {
		l.slots[id] = s
	}
	return s, true
}

// entrust returns the share of a run that has ended, if this daemon keeps it.
func (l *Lender) entrust(now units.Instant, id ids.Account, own seat, e replay.Entry) (*slot, bool) {
	sh := own.share
	s, ok := l.slots[id]
	if ok && s.entrusted && s.split == e.SplitSince {
		s.holding.Resize(now, sh.Rate, sh.Burst)
		return s, true
	}
	l.drop(id)
	n, ok := l.final(now, id, e.SplitSince)
	if !ok {
		return nil, false
	}
	s = &slot{holders: sh.Leaders, split: e.SplitSince, starts: now, used: now, entrusted: true, giver: n.Giver, version: n.Version}
	s.holding.Lifetime = batchWait
	s.holding.Inherit(now.Add(-credited(n.Age)), n.Balance, n.Out, sh.Rate, sh.Burst)
	l.slots[id] = s
	return s, true
}

// own returns this daemon's share of an account, if it holds one.
func (l *Lender) own(id ids.Account, r roster.Roster) (seat, replay.Entry, bool) {
	limits, e, ok := l.limits(id)
	if !ok {
		return seat{}, e, false
	}
	key := shareKey{account: id, limits: limits}
	own := l.shares.Get(key, func() seat { return l.seatOf(id, limits, r) })
	return own, e, own.held
}

// begin starts a share: with the balance of the earlier holder, full when there
// was none, or else empty.
func (l *Lender) begin(now units.Instant, id ids.Account, own seat, e replay.Entry) *slot {
	sh := own.share
	s := &slot{holders: sh.Leaders, split: e.SplitSince, starts: now, used: now}
	s.holding.Lifetime = batchWait
	if n, ok := l.inherit(now, id, e.SplitSince, len(sh.Leaders)); ok {
		s.holding.Inherit(now.Add(-credited(n.Age)), n.Balance, n.Out, sh.Rate, sh.Burst)
		return s
	}
	if l.first(id, own, e) {
		s.holding.Begin(now, sh.Burst, sh.Rate, sh.Burst)
		return s
	}
	start, ok := l.start(own, e)
	if !ok {
		return nil
	}
	s.starts = start
	s.holding.Begin(start, 0, sh.Rate, sh.Burst)
	return s
}

// credited is the part of an age for which a share that was let go fills: clocks
// may differ in rate by 2%.
func credited(age time.Duration) time.Duration { return age / 100 * 98 }

// start returns from when on nobody else can fill or spend the share.
func (l *Lender) start(own seat, e replay.Entry) (units.Instant, bool) {
	forced, ok := l.forced.since(e.SplitSince)
	return max(own.since.Add(seatWait), forced.Add(batchWait)), ok
}

// first reports whether nobody can have held the share before this daemon, which
// has not dropped it either.
func (l *Lender) first(id ids.Account, own seat, e replay.Entry) bool {
	if e.Created != e.SplitSince || e.Created <= l.dropped {
		return false
	}
	n := len(own.share.Leaders)
	return l.line(id, n).First(l.self(), e.Created, n)
}

// refills reports whether a share that is dropped when it is full would be full
// again when it is next used.
func (l *Lender) refills(now units.Instant, id ids.Account, r roster.Roster) bool {
	own, e, ok := l.own(id, r)
	if !ok {
		return false
	}
	start, ok := l.start(own, e)
	full := start.Add(own.share.Rate.Time(own.share.Burst))
	return ok && !now.Before(full)
}

// drop forgets a share that may not be full.
func (l *Lender) drop(id ids.Account) {
	if _, ok := l.slots[id]; !ok {
		return
	}
	delete(l.slots, id)
	l.viewer.View(func(s *replay.State) { l.dropped = s.Offset() })
}

// line returns the history of an account's holders.
func (l *Lender) line(id ids.Account, count int) succession.Succession {
	line := succession.Succession{Thing: share.Thing(id), Count: count}
	l.viewer.View(func(s *replay.State) {
		var since ids.Offset
		line.Rosters, since = s.Rosters()
		line.Complete = since == 0
	})
	return line
}

func (l *Lender) self() roster.Process {
	d, incarnation := l.standing.Self()
	return roster.Process{Daemon: d, Incarnation: incarnation}
}

// limits returns an account's settings with their offsets.
func (l *Lender) limits(id ids.Account) (settings.Account, replay.Entry, bool) {
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
