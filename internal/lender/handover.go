package lender

import (
	"context"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/succession"
	"balsamwharf.example/balsamwharf/internal/transfer"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// handoverTimeout is how long a daemon may take to answer one handover message.
	handoverTimeout = 500 * time.Millisecond
	// sharesPerMessage bounds the size of a handover message.
	sharesPerMessage = 256
)

// handovers holds the released shares to send to each process of a daemon.
type handovers map[roster.Process][]transfer.ReleasedShare

// releaseMoved releases the shares that a new roster gives to other daemons, or whose
// number of quota leaders it changes.
func (l *Lender) releaseMoved(now units.Instant, r roster.Roster) {
	for id, s := range l.active {
		if s.standby {
			l.releaseStandby(now, id, s)
			continue
		}
		leaders := l.leadersOf(id, len(s.leaders), r)
		if l.leads(r, leaders) && len(leaders) == len(s.leaders) {
			s.leaders = leaders
			continue
		}
		if rs, ok := l.releaseShare(now, id); ok {
			l.released.Put(now, rs)
		}
	}
}

// releaseStandby releases the share of an ended process once a roster names its successor.
func (l *Lender) releaseStandby(now units.Instant, id ids.Account, s *activeShare) {
	outcome := l.outcomeOf(transfer.ReleasedShare{Account: id, Giver: s.giver, Version: s.version, Split: s.splitSince})
	if _, ok := outcome.(succession.Unmoved); ok {
		return
	}
	if rs, ok := l.releaseShare(now, id); ok {
		l.released.Put(now, rs)
	}
}

// releaseShare drops a share and returns it with its balance. It returns false when the
// share has not begun to fill, since it has nothing to hand over then.
func (l *Lender) releaseShare(now units.Instant, id ids.Account) (transfer.ReleasedShare, bool) {
	s := l.active[id]
	l.drop(id)
	if now.Before(s.startsAt) {
		return transfer.ReleasedShare{}, false
	}
	rs := transfer.ReleasedShare{Account: id, Giver: l.self(), Version: l.newestRead, Split: s.splitSince}
	if s.standby {
		rs.Giver, rs.Version, rs.Final = s.giver, s.version, true
	}
	rs.Balance, rs.Out = s.bucket.Close(now)
	return rs, true
}

// AcceptHandover stores the shares that another daemon has released, and forwards those
// whose successor is a third one. Shares that are meant for another process of this daemon,
// and those that it has lent of already, are ignored.
func (l *Lender) AcceptHandover(m message.Handover) message.HandedOver {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || m.To != l.self() {
		return message.HandedOver{}
	}
	now := l.Common.Clock.Now()
	for _, rs := range m.Shares {
		if !l.lentFrom[rs.Key()] {
			l.released.Put(now, rs)
		}
	}
	l.forward(now, m.Shares)
	return message.HandedOver{}
}

// forward sends on the released shares whose successor is another daemon. For those whose
// successor is this one, it drops a share that is still empty, so that the next request
// starts it with the balance handed over.
func (l *Lender) forward(now units.Instant, shares []transfer.ReleasedShare) {
	out := handovers{}
	for _, rs := range shares {
		switch outcome := l.outcomeOf(rs).(type) {
		case succession.Unmoved:
		case succession.Lost:
			l.released.Remove(now, rs.Key())
		case succession.Moved:
			if outcome.To != l.self() {
				if rs, ok := l.released.Remove(now, rs.Key()); ok {
					out[outcome.To] = append(out[outcome.To], rs)
				}
			} else if s, ok := l.active[rs.Account]; ok && now.Before(s.startsAt) {
				// Nothing has been lent of it, so it can start again.
				delete(l.active, rs.Account)
			}
		}
	}
	if len(out) > 0 && l.ctx.Err() == nil {
		l.tasks.Go(func() { l.sendHandovers(l.ctx, out) })
	}
}

func (l *Lender) outcomeOf(rs transfer.ReleasedShare) succession.Outcome {
	limits, e, ok := l.accountLimits(rs.Account)
	if !ok || e.SplitSince < rs.Split {
		// This daemon has not read the settings up to the split yet.
		return succession.Unmoved{}
	}
	if e.SplitSince > rs.Split {
		return succession.Lost{}
	}
	return l.successionOf(rs.Account, share.LeaderCount(limits)).Resolve(rs.Giver, rs.Version)
}

// claimHandedOver removes and returns the share that its earlier quota leader handed over
// to this daemon. It does so once for each roster that moved the share.
func (l *Lender) claimHandedOver(now units.Instant, id ids.Account, split ids.Offset, count int) (transfer.ReleasedShare, bool) {
	for _, rs := range l.released.ForAccount(id) {
		if rs.Split != split {
			continue
		}
		moved, ok := l.successionOf(id, count).Resolve(rs.Giver, rs.Version).(succession.Moved)
		if !ok || moved.To != l.self() {
			continue
		}
		rs, _ = l.released.Remove(now, rs.Key())
		if l.takenOver[id] == moved.At {
			continue
		}
		l.takenOver[id] = moved.At
		return rs, true
	}
	return transfer.ReleasedShare{}, false
}

// claimFinal removes and returns the released share of a quota leader whose process has
// ended, if the rosters still name that process.
func (l *Lender) claimFinal(now units.Instant, id ids.Account, split ids.Offset) (transfer.ReleasedShare, bool) {
	for _, rs := range l.released.ForAccount(id) {
		if !rs.Final || rs.Split != split {
			continue
		}
		if _, ok := l.outcomeOf(rs).(succession.Unmoved); ok {
			l.lentFrom[rs.Key()] = true
			return l.released.Remove(now, rs.Key())
		}
	}
	return transfer.ReleasedShare{}, false
}

// pruneTakenOver evicts the records of takeovers under rosters that are no longer
// retained. A released share that names such a roster is not used any more.
func (l *Lender) pruneTakenOver() {
	var rosters []roster.Roster
	l.settings.View(func(s *replay.State) { rosters, _ = s.Rosters() })
	for id, at := range l.takenOver {
		if len(rosters) > 0 && at < rosters[0].Version {
			delete(l.takenOver, id)
		}
	}
}

// releaseAll releases all shares, and stops lending for good. It returns the shares by the
// standby to send them to.
func (l *Lender) releaseAll() handovers {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	out := handovers{}
	r, ok := l.observeRoster(now)
	if ok {
		l.activateAll(now, r)
		for id := range l.active {
			if rs, ok := l.releaseShare(now, id); ok {
				rs.Final = true
				out.addForStandby(l, rs)
			}
		}
	}
	for _, rs := range l.released.Unexpired(now) {
		if rs, ok := l.released.Remove(now, rs.Key()); ok {
			out.addForStandby(l, rs)
		}
	}
	l.stopped = true
	return out
}

// activateAll starts the shares of this daemon that are not in memory, so that they are
// handed over too.
func (l *Lender) activateAll(now units.Instant, r roster.Roster) {
	var all []ids.Account
	l.settings.View(func(s *replay.State) {
		for _, path := range s.Paths() {
			if settings.KindOf(path) == settings.KindAccount {
				all = append(all, ids.AccountOf(settings.TeamOf(path), settings.NameOf(path)))
			}
		}
	})
	for _, id := range all {
		l.activeShare(now, id, r)
	}
}

// addForStandby adds a released share for the daemon that keeps it while this one is down.
func (b handovers) addForStandby(l *Lender, rs transfer.ReleasedShare) {
	limits, _, ok := l.accountLimits(rs.Account)
	if !ok {
		return
	}
	history := l.successionOf(rs.Account, share.LeaderCount(limits))
	self := l.self()
	if to, ok := history.Standby(rs.Giver, rs.Giver.Daemon, self.Daemon); ok {
		b[to] = append(b[to], rs)
	}
}

// sendHandovers sends the released shares to all daemons concurrently, and waits for the
// answers.
func (l *Lender) sendHandovers(ctx context.Context, out handovers) {
	var all sync.WaitGroup
	for to, shares := range out {
		all.Go(func() { l.sendHandover(ctx, to, shares) })
	}
	all.Wait()
}

// sendHandover sends released shares to one daemon. After a failure the rest isn't sent,
// and its tokens are lost.
func (l *Lender) sendHandover(ctx context.Context, to roster.Process, shares []transfer.ReleasedShare) {
	for len(shares) > 0 {
		n := min(len(shares), sharesPerMessage)
		callCtx, cancel := l.Common.Clock.WithTimeout(ctx, handoverTimeout)
		_, err := l.peers.Call(callCtx, to.Daemon, message.Handover{To: to, Shares: shares[:n]})
		cancel()
		if err != nil {
			return
		}
		shares = shares[n:]
	}
}
