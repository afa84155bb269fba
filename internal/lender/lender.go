// Package lender is the holder's side of the client accounts' limits: it keeps
// this daemon's shares and lends tokens of them.
//
// # Usage
//
//	lent := l.Lend(from, message.Borrow{Account: id, Question: q})
//
// A share is lent from only while this daemon is confirmed and its incarnation is
// in the roster in force. A new holder's share starts with the balance that the
// earlier holder handed over, or empty once nobody can spend tokens of an earlier
// holder any more.
package lender

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/lru"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterhistory"
	"balsamwharf.example/balsamwharf/internal/transfer"
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
	// batchWait is how long after a holder let go its borrowers may spend.
	batchWait = Lifetime + margin
	// seatWait is how long a new holder's share stays empty after its roster is in
	// force: until the batches of the earlier holder have ended, and so long that a
	// holder that missed the roster does not go on.
	seatWait = observeGap + batchWait
	// keep is how long an unused share stays in memory.
	keep = 10 * time.Second

	rememberedRosters = 8
	cachedShares      = 4096
	// cachedSpreads holds the holders of the accounts in use under each of the
	// remembered rosters.
	cachedSpreads = 16384
	transferNotes = 16384
	transferTime  = 2 * time.Minute
)

// Viewer shows the shared settings; package tail implements it.
type Viewer interface {
	View(read func(*replay.State))
}

// ForceTracker tells which records are in force; package force implements it.
type ForceTracker interface {
	Newest() ids.Offset
}

// Lender keeps the shares that this daemon holds and that were used lately.
type Lender struct {
	Common *common.Common

	standing leasecheck.Checker
	viewer   Viewer
	forcer   ForceTracker
	peers    peer.Caller
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu       sync.Mutex
	stopped  bool
	tenure   rosterhistory.History
	forced   forced
	slots    map[ids.Account]*slot
	shares   lru.Cache[shareKey, seat]
	spreads  lru.Cache[spreadKey, []ids.Daemon]
	transfer transfer.Transfer
	// taken holds the roster under which each account's balance was taken over.
	taken map[ids.Account]ids.Offset
	// lent names the notes of ended runs that this daemon has lent of.
	lent map[transfer.Name]bool
	// read is the newest roster read.
	read ids.Offset
	// dropped is the settings' offset when a share was last dropped before it was
	// full.
	dropped ids.Offset
}

// Name implements service.Service.
func (l *Lender) Name() service.Name { return "lender" }

// Needs implements service.Service.
func (l *Lender) Needs() []service.Name {
	return []service.Name{"timer", "tail", "confirm", "force", "dial"}
}

// Start implements service.Service.
func (l *Lender) Start(ctx context.Context, f service.Finder) error {
	var err error
	if l.viewer, err = kernel.Find[Viewer](f, "tail"); err != nil {
		return err
	}
	if l.standing, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if l.forcer, err = kernel.Find[ForceTracker](f, "force"); err != nil {
		return err
	}
	if l.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	l.tenure = rosterhistory.History{MaxGap: observeGap, Limit: rememberedRosters}
	l.slots = map[ids.Account]*slot{}
	l.shares = lru.Cache[shareKey, seat]{Limit: cachedShares}
	l.spreads = lru.Cache[spreadKey, []ids.Daemon]{Limit: cachedSpreads}
	l.transfer = transfer.Transfer{Limit: transferNotes, Keep: transferTime}
	l.taken = map[ids.Account]ids.Offset{}
	l.lent = map[transfer.Name]bool{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(l.run)
	return nil
}

// Stop hands all balances over and ends the tasks.
func (l *Lender) Stop(ctx context.Context) error {
	l.sendAll(ctx, l.leave())
	l.cancel()
	l.tasks.Wait()
	return nil
}

// run observes the roster and drops shares that are full and unused.
func (l *Lender) run() {
	tick := l.Common.Clock.Every(observe)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.step()
		case <-l.ctx.Done():
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
	for id, old := range l.slots {
		s, ok := l.slot(now, id, r)
		if ok && s == old && now.Sub(s.used) > keep && s.holding.Idle(now) && l.refills(now, id, r) {
			delete(l.slots, id)
		}
	}
}

// seat observes the roster and reports whether this daemon may hold anything.
func (l *Lender) seat(now units.Instant) (roster.Roster, bool) {
	if l.stopped || !l.standing.Confirmed() {
		return roster.Roster{}, false
	}
	l.forced.observe(now, l.forcer.Newest())
	r := l.standing.Roster()
	if len(r.Entries) == 0 {
		return r, false
	}
	all := r.WithNewer()
	newest := all[len(all)-1].Version
	switch l.tenure.Observe(now, r) {
	case rosterhistory.Unchanged:
	case rosterhistory.Changed:
		l.shares.Clear()
		for _, one := range all {
			l.release(now, one)
		}
		l.route(now, l.transfer.All(now))
		l.prune()
	case rosterhistory.Interrupted:
		l.shares.Clear()
		for id := range l.slots {
			l.drop(id)
		}
	}
	l.read = newest
	return r, l.named(r)
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
	if s == nil {
		return message.Lent{Holds: true, Wait: observe}
	}
	s.used = now
	amount := s.holding.Lend(now, m.Question)
	l.Common.Invariant.Check(s.holding.Bounded(), "a holder lends no more than its share", zap.String("account", string(m.Account)))
	short := amount < m.Question.Need
	s.askers.note(now, from, short)
	return message.Lent{Holds: true, Amount: amount, Wait: s.askers.wait(s.holding.Wait(now, units.Token))}
}

// ShareCount returns how many shares are in memory.
func (l *Lender) ShareCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
