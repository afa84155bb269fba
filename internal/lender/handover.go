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
	// handoverTimeout bounds one message with balances.
	handoverTimeout = 500 * time.Millisecond
	// sharesPerMessage bounds its size.
	sharesPerMessage = 256
)

// handovers is the notes for each run of a daemon.
type handovers map[roster.Process][]transfer.ReleasedShare

// releaseMoved lets go of the shares that a new roster gives to others or splits
// otherwise.
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

// releaseStandby lets go of an ended run's share once a roster names another.
func (l *Lender) releaseStandby(now units.Instant, id ids.Account, s *activeShare) {
	outcome := l.outcomeOf(transfer.ReleasedShare{Account: id, Giver: s.giver, Version: s.version, Split: s.splitSince})
	if _, ok := outcome.(succession.Unmoved); ok {
		return
	}
	if rs, ok := l.releaseShare(now, id); ok {
		l.released.Put(now, rs)
	}
}

// releaseShare ends a share and returns its balance; it is false when the share has not
// begun.
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

// AcceptHandover takes over balances that another daemon let go.
func (l *Lender) AcceptHandover(m message.Handover) message.HandedOver {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || m.To != l.self() {
		return message.HandedOver{}
	}
	now := l.Common.Clock.Now()
	for _, rs := range m.Notes {
		if !l.lentFrom[rs.Key()] {
			l.released.Put(now, rs)
		}
	}
	l.forward(now, m.Notes)
	return message.HandedOver{}
}

// forward hands the notes on whose successor is another daemon, and uses those of a
// share that has begun empty.
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
				// Nothing was lent of it, so it can begin again.
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
		// The settings have not been read so far yet.
		return succession.Unmoved{}
	}
	if e.SplitSince > rs.Split {
		return succession.Lost{}
	}
	return l.successionOf(rs.Account, share.LeaderCount(limits)).Resolve(rs.Giver, rs.Version)
}

// claimHandedOver returns the balance that the earlier holder of a share let go, once.
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

// claimFinal takes the note of an account's holder whose run has ended, if the rosters
// still name it.
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

// pruneTakenOver forgets what was taken over under rosters that are not kept any more: no
// note that names them is used.
func (l *Lender) pruneTakenOver() {
	var rosters []roster.Roster
	l.viewer.View(func(s *replay.State) { rosters, _ = s.Rosters() })
	for id, at := range l.takenOver {
		if len(rosters) > 0 && at < rosters[0].Version {
			delete(l.takenOver, id)
		}
	}
}

// releaseAll lets go of everything and says who keeps it. From now on this daemon
// lends nothing.
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

// activateAll begins the shares that are not in memory.
func (l *Lender) activateAll(now units.Instant, r roster.Roster) {
	var all []ids.Account
	l.viewer.View(func(s *replay.State) {
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

// addForStandby puts a note to the daemon that keeps it when this one is gone.
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

// sendHandovers hands notes over, to all daemons at once.
func (l *Lender) sendHandovers(ctx context.Context, out handovers) {
	var all sync.WaitGroup
	for to, shares := range out {
		all.Go(func() { l.sendHandover(ctx, to, shares) })
	}
	all.Wait()
}

// sendHandover hands notes to one daemon. What does not arrive is lost.
func (l *Lender) sendHandover(ctx context.Context, to roster.Process, shares []transfer.ReleasedShare) {
	for len(shares) > 0 {
		n := min(len(shares), sharesPerMessage)
		callCtx, cancel := l.Common.Clock.Within(ctx, handoverTimeout)
		_, err := l.peers.Call(callCtx, to.Daemon, message.Handover{To: to, Notes: shares[:n]})
		cancel()
		if err != nil {
			return
		}
		shares = shares[n:]
	}
}
