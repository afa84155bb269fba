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
	// notesPerMessage bounds its size.
	notesPerMessage = 256
)

// bundle is the notes for each run of a daemon.
type bundle map[roster.Process][]transfer.ReleasedShare

// release lets go of the shares that a new roster gives to others or splits
// otherwise.
func (l *Lender) release(now units.Instant, r roster.Roster) {
	for id, s := range l.slots {
		if s.entrusted {
			l.releaseEntrusted(now, id, s)
			continue
		}
		holders := l.spread(id, len(s.holders), r)
		if l.holds(r, holders) && len(holders) == len(s.holders) {
			s.holders = holders
			continue
		}
		if n, ok := l.letGo(now, id); ok {
			l.transfer.Put(now, n)
		}
	}
}

// releaseEntrusted lets go of an ended run's share once a roster names another.
func (l *Lender) releaseEntrusted(now units.Instant, id ids.Account, s *slot) {
	f := l.fate(transfer.ReleasedShare{Account: id, Giver: s.giver, Version: s.version, Split: s.split})
	if _, ok := f.(succession.Stays); ok {
		return
	}
	if n, ok := l.letGo(now, id); ok {
		l.transfer.Put(now, n)
	}
}

// letGo ends a share and returns its balance; it is false when the share has not
// begun.
func (l *Lender) letGo(now units.Instant, id ids.Account) (transfer.ReleasedShare, bool) {
	s := l.slots[id]
	l.drop(id)
	if now.Before(s.starts) {
		return transfer.ReleasedShare{}, false
	}
	n := transfer.ReleasedShare{Account: id, Giver: l.self(), Version: l.read, Split: s.split}
	if s.entrusted {
		n.Giver, n.Version, n.Final = s.giver, s.version, true
	}
	n.Balance, n.Out = s.holding.Leave(now)
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
		if !l.lent[n.Name()] {
			l.transfer.Put(now, n)
		}
	}
	l.route(now, m.Notes)
	return message.HandedOver{}
}

// route hands the notes on whose successor is another daemon, and uses those of a
// share that has begun empty.
func (l *Lender) route(now units.Instant, notes []transfer.ReleasedShare) {
	out := bundle{}
	for _, n := range notes {
		switch f := l.fate(n).(type) {
		case succession.Stays:
		case succession.Lost:
			l.transfer.Take(now, n.Name())
		case succession.Passed:
			if f.To != l.self() {
				if n, ok := l.transfer.Take(now, n.Name()); ok {
					out[f.To] = append(out[f.To], n)
				}
			} else if s, ok := l.slots[n.Account]; ok && now.Before(s.starts) {
				// Nothing was lent of it, so it can begin again.
				delete(l.slots, n.Account)
			}
		}
	}
	if len(out) > 0 && l.ctx.Err() == nil {
		l.tasks.Go(func() { l.sendAll(l.ctx, out) })
	}
}

func (l *Lender) fate(n transfer.ReleasedShare) succession.Fate {
	limits, e, ok := l.limits(n.Account)
	if !ok || e.SplitSince < n.Split {
		// The settings have not been read so far yet.
		return succession.Stays{}
	}
	if e.SplitSince > n.Split {
		return succession.Lost{}
	}
	return l.line(n.Account, share.LeaderCount(limits)).Fate(n.Giver, n.Version)
}

// inherit returns the balance that the earlier holder of a share let go, once.
func (l *Lender) inherit(now units.Instant, id ids.Account, split ids.Offset, count int) (transfer.ReleasedShare, bool) {
	for _, n := range l.transfer.Of(id) {
		if n.Split != split {
			continue
		}
		f, ok := l.line(id, count).Fate(n.Giver, n.Version).(succession.Passed)
		if !ok || f.To != l.self() {
			continue
		}
		n, _ = l.transfer.Take(now, n.Name())
		if l.taken[id] == f.At {
			continue
		}
		l.taken[id] = f.At
		return n, true
	}
	return transfer.ReleasedShare{}, false
}

// final takes the note of an account's holder whose run has ended, if the rosters
// still name it.
func (l *Lender) final(now units.Instant, id ids.Account, split ids.Offset) (transfer.ReleasedShare, bool) {
	for _, n := range l.transfer.Of(id) {
		if !n.Final || n.Split != split {
			continue
		}
		if _, ok := l.fate(n).(succession.Stays); ok {
			l.lent[n.Name()] = true
			return l.transfer.Take(now, n.Name())
		}
	}
	return transfer.ReleasedShare{}, false
}

// prune forgets what was taken over under rosters that are not kept any more: no
// note that names them is used.
func (l *Lender) prune() {
	var kept []roster.Roster
	l.viewer.View(func(s *replay.State) { kept, _ = s.Rosters() })
	for id, at := range l.taken {
		if len(kept) > 0 && at < kept[0].Version {
			delete(l.taken, id)
		}
	}
}

// leave lets go of everything and says who keeps it. From now on this daemon
// lends nothing.
func (l *Lender) leave() bundle {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	out := bundle{}
	r, ok := l.seat(now)
	if ok {
		l.useAll(now, r)
		for id := range l.slots {
			if n, ok := l.letGo(now, id); ok {
				n.Final = true
				out.add(l, n)
			}
		}
	}
	for _, n := range l.transfer.All(now) {
		if n, ok := l.transfer.Take(now, n.Name()); ok {
			out.add(l, n)
		}
	}
	l.stopped = true
	return out
}

// useAll begins the shares that are not in memory.
func (l *Lender) useAll(now units.Instant, r roster.Roster) {
	var all []ids.Account
	l.viewer.View(func(s *replay.State) {
		for _, path := range s.Paths() {
			if settings.KindOf(path) == settings.KindAccount {
				all = append(all, ids.AccountOf(settings.TeamOf(path), settings.NameOf(path)))
			}
		}
	})
	for _, id := range all {
		l.slot(now, id, r)
	}
}

// add puts a note to the daemon that keeps it when this one is gone.
func (b bundle) add(l *Lender, n transfer.ReleasedShare) {
	limits, _, ok := l.limits(n.Account)
	if !ok {
		return
	}
	line := l.line(n.Account, share.LeaderCount(limits))
	self := l.self()
	if to, ok := line.Trustee(n.Giver, n.Giver.Daemon, self.Daemon); ok {
		b[to] = append(b[to], n)
	}
}

// sendAll hands notes over, to all daemons at once.
func (l *Lender) sendAll(ctx context.Context, out bundle) {
	var all sync.WaitGroup
	for to, notes := range out {
		all.Go(func() { l.send(ctx, to, notes) })
	}
	all.Wait()
}

// send hands notes to one daemon. What does not arrive is lost.
func (l *Lender) send(ctx context.Context, to roster.Process, notes []transfer.ReleasedShare) {
	for len(notes) > 0 {
		n := min(len(notes), notesPerMessage)
		callCtx, cancel := l.Common.Clock.Within(ctx, handoverTimeout)
		_, err := l.peers.Call(callCtx, to.Daemon, message.Handover{To: to, Notes: notes[:n]})
		cancel()
		if err != nil {
			return
		}
		notes = notes[n:]
	}
}
