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
		holders := l.leadersOf(id, len(s.leaders), r)
		if l.leads(r, holders) && len(holders) == len(s.leaders) {
			s.leaders = holders
			continue
		}
		if n, ok := l.releaseShare(now, id); ok {
			l.released.Put(now, n)
		}
	}
}

// releaseStandby lets go of an ended run's share once a roster names another.
func (l *Lender) releaseStandby(now units.Instant, id ids.Account, s *activeShare) {
	f := l.outcomeOf(transfer.ReleasedShare{Account: id, Giver: s.giver, Version: s.version, Split: s.splitSince})
	if _, ok := f.(succession.Stays); ok {
		return
	}
	if n, ok := l.releaseShare(now, id); ok {
		l.released.Put(now, n)
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
	n := transfer.ReleasedShare{Account: id, Giver: l.self(), Version: l.newestRead, Split: s.splitSince}
	if s.standby {
		n.Giver, n.Version, n.Final = s.giver, s.version, true
	}
	n.Balance, n.Out = s.bucket.Leave(now)
	return n, true
}

// AcceptHandover takes over balances that another daemon let go.
func (l *Lender) AcceptHandover(m message.Handover) message.HandedOver {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || m.To != l.self() {
		return message.HandedOver{}
	}
	now := l.Common.Clock.Now()
	for _, n := range m.Notes {
		if !l.lentFrom[n.Name()] {
			l.released.Put(now, n)
		}
	}
	l.forward(now, m.Notes)
	return message.HandedOver{}
}

// forward hands the notes on whose successor is another daemon, and uses those of a
// share that has begun empty.
func (l *Lender) forward(now units.Instant, notes []transfer.ReleasedShare) {
	out := handovers{}
	for _, n := range notes {
		switch f := l.outcomeOf(n).(type) {
		case succession.Stays:
		case succession.Lost:
			l.released.Take(now, n.Name())
		case succession.Passed:
			if f.To != l.self() {
				if n, ok := l.released.Take(now, n.Name()); ok {
					out[f.To] = append(out[f.To], n)
				}
			} else if s, ok := l.active[n.Account]; ok && now.Before(s.startsAt) {
				// Nothing was lent of it, so it can begin again.
				delete(l.active, n.Account)
			}
		}
	}
	if len(out) > 0 && l.ctx.Err() == nil {
		l.tasks.Go(func() { l.sendHandovers(l.ctx, out) })
	}
}

func (l *Lender) outcomeOf(n transfer.ReleasedShare) succession.Fate {
	limits, e, ok := l.accountLimits(n.Account)
	if !ok || e.SplitSince < n.Split {
		// The settings have not been read so far yet.
		return succession.Stays{}
	}
	if e.SplitSince > n.Split {
		return succession.Lost{}
	}
	return l.successionOf(n.Account, share.LeaderCount(limits)).Fate(n.Giver, n.Version)
}

// claimHandedOver returns the balance that the earlier holder of a share let go, once.
func (l *Lender) claimHandedOver(now units.Instant, id ids.Account, split ids.Offset, count int) (transfer.ReleasedShare, bool) {
	for _, n := range l.released.Of(id) {
		if n.Split != split {
			continue
		}
		f, ok := l.successionOf(id, count).Fate(n.Giver, n.Version).(succession.Passed)
		if !ok || f.To != l.self() {
			continue
		}
		n, _ = l.released.Take(now, n.Name())
		if l.takenOver[id] == f.At {
			continue
		}
		l.takenOver[id] = f.At
		return n, true
	}
	return transfer.ReleasedShare{}, false
}

// claimFinal takes the note of an account's holder whose run has ended, if the rosters
// still name it.
func (l *Lender) claimFinal(now units.Instant, id ids.Account, split ids.Offset) (transfer.ReleasedShare, bool) {
	for _, n := range l.released.Of(id) {
		if !n.Final || n.Split != split {
			continue
		}
		if _, ok := l.outcomeOf(n).(succession.Stays); ok {
			l.lentFrom[n.Name()] = true
			return l.released.Take(now, n.Name())
		}
	}
	return transfer.ReleasedShare{}, false
}

// pruneTakenOver forgets what was taken over under rosters that are not kept any more: no
// note that names them is used.
func (l *Lender) pruneTakenOver() {
	var kept []roster.Roster
	l.viewer.View(func(s *replay.State) { kept, _ = s.Rosters() })
	for id, at := range l.takenOver {
		if len(kept) > 0 && at < kept[0].Version {
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
			if n, ok := l.releaseShare(now, id); ok {
				n.Final = true
				out.addForStandby(l, n)
			}
		}
	}
	for _, n := range l.released.All(now) {
		if n, ok := l.released.Take(now, n.Name()); ok {
			out.addForStandby(l, n)
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
func (b handovers) addForStandby(l *Lender, n transfer.ReleasedShare) {
	limits, _, ok := l.accountLimits(n.Account)
	if !ok {
		return
	}
	line := l.successionOf(n.Account, share.LeaderCount(limits))
	self := l.self()
	if to, ok := line.Trustee(n.Giver, n.Giver.Daemon, self.Daemon); ok {
		b[to] = append(b[to], n)
	}
}

// sendHandovers hands notes over, to all daemons at once.
func (l *Lender) sendHandovers(ctx context.Context, out handovers) {
	var all sync.WaitGroup
	for to, notes := range out {
		all.Go(func() { l.sendHandover(ctx, to, notes) })
	}
	all.Wait()
}

// sendHandover hands notes to one daemon. What does not arrive is lost.
func (l *Lender) sendHandover(ctx context.Context, to roster.Process, notes []transfer.ReleasedShare) {
	for len(notes) > 0 {
		n := min(len(notes), sharesPerMessage)
		callCtx, cancel := l.Common.Clock.Within(ctx, handoverTimeout)
		_, err := l.peers.Call(callCtx, to.Daemon, message.Handover{To: to, Notes: notes[:n]})
		cancel()
		if err != nil {
			return
		}
		notes = notes[n:]
	}
}
