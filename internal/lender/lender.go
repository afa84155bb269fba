// Package lender is the holder's side of the client accounts' limits: it keeps
// this daemon's shares and lends tokens of them.
//
// # Usage
//
//	lent := l.Lend(from, message.Borrow{Account: id, Question: q})
//
// A share is lent from only while this daemon is confirmed and its incarnation is
// in the roster in force. A new holder's share is empty until nobody can spend
// tokens of an earlier holder any more.
package lender

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/evidence"
	"balsamwharf.example/balsamwharf/internal/holding"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lru"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/standing"
	"balsamwharf.example/balsamwharf/internal/tenure"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// Lifetime is how long a borrower may spend a batch, from its question on.
	Lifetime = 500 * time.Millisecond
	// margin is how much longer the holder counts a batch than its borrower, for
	// clocks that run at slightly different rates.
	margin = 10 * time.Millisecond
	// observe is the period of looking at the roster; observeGap is the longest
	// pause in it that leaves the shares valid.
	observe    = 100 * time.Millisecond
	observeGap = 500 * time.Millisecond
	// seatWait is how long a new holder's share stays empty after its roster is in
	// force: until the batches of the earlier holder have ended, and so long that a
	// holder that missed the roster does not go on.
	seatWait = observeGap + Lifetime + margin
	// Settle is how long a share stays empty after a change of settings that may
	// have changed the number of holders. Others may act on the earlier settings
	// for one more Period, and may miss a change within another.
	Settle = 2*evidence.Period + seatWait

	rememberedRosters = 8
	cachedShares      = 4096
	// cachedSpreads holds the holders of the accounts in use under each of the
	// remembered rosters.
	cachedSpreads = 16384
)

// Viewer shows the shared settings; package tail implements it.
type Viewer interface {
	View(read func(*replay.State))
}

// Lender keeps the shares that this daemon holds and that were used lately.
type Lender struct {
	Common *common.Common

	standing standing.Standing
	viewer   Viewer
	cancel   context.CancelFunc

	mu      sync.Mutex
	tenure  tenure.Tenure
	applied applied
	slots   map[ids.Account]*slot
	shares  lru.Cache[shareKey, seat]
	spreads lru.Cache[spreadKey, []ids.Daemon]
}

// slot is one share in use.
type slot struct {
	holding holding.Holding
	holders []ids.Daemon
	askers  askers
	// version is the limits' version, as of checked.
	version ids.Offset
	checked units.Instant
}

// Name implements service.Service.
func (l *Lender) Name() service.Name { return "lender" }

// Needs implements service.Service.
func (l *Lender) Needs() []service.Name { return []service.Name{"timer", "tail", "confirm"} }

// Start implements service.Service.
func (l *Lender) Start(ctx context.Context, f service.Finder) error {
	var err error
	if l.viewer, err = kernel.Find[Viewer](f, "tail"); err != nil {
		return err
	}
	if l.standing, err = kernel.Find[standing.Standing](f, "confirm"); err != nil {
		return err
	}
	l.tenure = tenure.Tenure{Gap: observeGap, Limit: rememberedRosters}
	l.slots = map[ids.Account]*slot{}
	l.shares = lru.Cache[shareKey, seat]{Limit: cachedShares}
	l.spreads = lru.Cache[spreadKey, []ids.Daemon]{Limit: cachedSpreads}
	ctx, l.cancel = context.WithCancel(ctx)
	go l.run(ctx)
	return nil
}

// Stop implements service.Service.
func (l *Lender) Stop(context.Context) error {
	l.cancel()
	return nil
}

// run observes the roster and drops shares that are full and unused.
func (l *Lender) run(ctx context.Context) {
	tick := l.Common.Clock.Every(observe)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.step()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Lender) step() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	r, ok := l.seat(now)
	if !ok {
		return
	}
	for id := range l.slots {
		s, ok := l.slot(now, id, r)
		if ok && s.holding.Idle(now) {
			delete(l.slots, id)
		}
	}
}

// seat observes the roster and reports whether this daemon may hold anything.
func (l *Lender) seat(now units.Instant) (roster.Roster, bool) {
	if !l.standing.Confirmed() {
		return roster.Roster{}, false
	}
	var at ids.Offset
	l.viewer.View(func(s *replay.State) { at = s.Offset() })
	l.applied.observe(now, at)
	r := l.standing.Roster()
	if len(r.Entries) == 0 {
		return r, false
	}
	switch l.tenure.Observe(now, r) {
	case tenure.Same:
	case tenure.Next:
		l.shares.Clear()
		for _, one := range r.All() {
			l.release(one)
		}
	case tenure.Broken:
		l.shares.Clear()
		clear(l.slots)
	}
	return r, l.named(r)
}

// release drops the shares that a new roster gives to others or splits otherwise.
func (l *Lender) release(r roster.Roster) {
	for id, s := range l.slots {
		holders := l.spread(id, len(s.holders), r)
		if !l.holds(r, holders) || len(holders) != len(s.holders) {
			delete(l.slots, id)
			continue
		}
		s.holders = holders
	}
}

// named reports whether the roster names this run of the daemon.
func (l *Lender) named(r roster.Roster) bool {
	self, incarnation := l.standing.Self()
	e, ok := r.Find(self)
	return ok && e.Incarnation == incarnation
}

func (l *Lender) holds(r roster.Roster, holders []ids.Daemon) bool {
	self, _ := l.standing.Self()
	return slices.Contains(holders, self) && l.named(r)
}

// Lend answers a question of a borrower.
func (l *Lender) Lend(from ids.Daemon, m message.Borrow) message.Lent {
	if m.Question.Borrower.Daemon != from {
		return message.Lent{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	r, ok := l.seat(now)
	if !ok {
		return message.Lent{}
	}
	s, ok := l.slot(now, m.Account, r)
	if !ok {
		return message.Lent{}
	}
	amount := s.holding.Lend(now, m.Question)
	l.Common.Invariant.Check(s.holding.Bounded(), "a holder lends no more than its share", zap.String("account", string(m.Account)))
	short := amount < m.Question.Need
	s.askers.note(now, from, short)
	return message.Lent{Holds: true, Amount: amount, Wait: s.askers.wait(s.holding.Wait(now, units.Token))}
}

// slot returns the share of an account, if this daemon holds one.
func (l *Lender) slot(now units.Instant, id ids.Account, r roster.Roster) (*slot, bool) {
	limits, version, ok := l.limits(id)
	if !ok {
		return nil, false
	}
	key := shareKey{account: id, limits: limits}
	own := l.shares.Get(key, func() seat { return l.seatOf(id, limits, r) })
	if !own.held {
		delete(l.slots, id)
		return nil, false
	}
	sh := own.share
	s, ok := l.slots[id]
	if ok && s.follows(now, version, len(sh.Holders)) {
		s.version, s.checked = version, now
		s.holding.Resize(now, sh.Rate, sh.Burst)
		return s, true
	}
	start := now.Add(Settle)
	if !ok {
		start = max(own.since.Add(seatWait), l.applied.since(now, version).Add(Settle))
	}
	s = &slot{holders: sh.Holders, version: version, checked: now}
	s.holding.Lifetime = Lifetime + margin
	s.holding.Begin(start, 0, sh.Rate, sh.Burst)
	l.slots[id] = s
	return s, true
}

// follows reports whether the slot can go on under the version of the limits:
// the number of holders is the same and was not another one meanwhile.
func (s *slot) follows(now units.Instant, version ids.Offset, holders int) bool {
	if len(s.holders) != holders {
		return false
	}
	return s.version == version || now.Sub(s.checked) <= observeGap
}

// limits returns an account's settings and the offset that set them.
func (l *Lender) limits(id ids.Account) (settings.Account, ids.Offset, bool) {
	var a settings.Account
	var version ids.Offset
	var ok bool
	path := settings.PathOf(ids.TeamOf(id), settings.KindAccount, ids.NameOf(id))
	l.viewer.View(func(s *replay.State) {
		a, ok = s.Account(id)
		e, _ := s.Get(path)
		version = e.Version
	})
	return a, version, ok
}

// Slots returns how many shares are in memory.
func (l *Lender) Slots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
