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
	// BatchLifetime is how long a borrower may spend a batch, from its question on.
	BatchLifetime = 500 * time.Millisecond
	// lifetimeMargin is how much longer the holder counts a batch than its borrower, for
	// clocks that run at slightly different rates.
	lifetimeMargin = 10 * time.Millisecond
	// observePeriod is the period of looking at the roster; observeGap is the longest
	// pause in it that leaves the shares valid.
	observePeriod = 100 * time.Millisecond
	maxObserveGap = 500 * time.Millisecond
	// batchDrainTime is how long after a holder let go its borrowers may spend.
	batchDrainTime = BatchLifetime + lifetimeMargin
	// takeoverWait is how long a new holder's share stays empty after its roster is in
	// force: until the batches of the earlier holder have ended, and so long that a
	// holder that missed the roster does not go on.
	takeoverWait = maxObserveGap + batchDrainTime
	// idleRetention is how long an unused share stays in memory.
	idleRetention = 10 * time.Second

	rememberedRosters = 8
	cachedShares      = 4096
	// cachedLeaderLists holds the holders of the accounts in use under each of the
	// remembered rosters.
	cachedLeaderLists = 16384
	maxReleasedShares = 16384
	releasedRetention = 2 * time.Minute
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

	lease        leasecheck.Checker
	viewer       Viewer
	forceTracker ForceTracker
	peers        peer.Caller
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        sync.WaitGroup

	mu           sync.Mutex
	stopped      bool
	tenure       rosterhistory.History
	forceHistory forceHistory
	active       map[ids.Account]*activeShare
	assignments  lru.Cache[assignmentKey, assignment]
	leaderLists  lru.Cache[leaderListKey, []ids.Daemon]
	released     transfer.Transfer
	// takenOver holds the roster under which each account's balance was takenOver over.
	takenOver map[ids.Account]ids.Offset
	// lentFrom names the notes of ended runs that this daemon has lentFrom of.
	lentFrom map[transfer.Name]bool
	// newestRead is the newest roster newestRead.
	newestRead ids.Offset
	// lastDrop is the settings' offset when a share was last lastDrop before it was
	// full.
	lastDrop ids.Offset
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
	if l.lease, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if l.forceTracker, err = kernel.Find[ForceTracker](f, "force"); err != nil {
		return err
	}
	if l.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	l.tenure = rosterhistory.History{MaxGap: maxObserveGap, Limit: rememberedRosters}
	l.active = map[ids.Account]*activeShare{}
	l.assignments = lru.Cache[assignmentKey, assignment]{Limit: cachedShares}
	l.leaderLists = lru.Cache[leaderListKey, []ids.Daemon]{Limit: cachedLeaderLists}
	l.released = transfer.Transfer{Limit: maxReleasedShares, Keep: releasedRetention}
	l.takenOver = map[ids.Account]ids.Offset{}
	l.lentFrom = map[transfer.Name]bool{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(l.run)
	return nil
}

// Stop hands all balances over and ends the tasks.
func (l *Lender) Stop(ctx context.Context) error {
	l.sendHandovers(ctx, l.releaseAll())
	l.cancel()
	l.tasks.Wait()
	return nil
}

// run observes the roster and drops shares that are full and unused.
func (l *Lender) run() {
	tick := l.Common.Clock.Every(observePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			l.sweep()
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Lender) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	r, ok := l.observeRoster(now)
	if !ok {
		return
	}
	for id, old := range l.active {
		s, ok := l.activeShare(now, id, r)
		if ok && s == old && now.Sub(s.lastUsed) > idleRetention && s.bucket.Idle(now) && l.wouldBeFull(now, id, r) {
			delete(l.active, id)
		}
	}
}

// observeRoster observes the roster and reports whether this daemon may hold anything.
func (l *Lender) observeRoster(now units.Instant) (roster.Roster, bool) {
	if l.stopped || !l.lease.Confirmed() {
		return roster.Roster{}, false
	}
	l.forceHistory.observe(now, l.forceTracker.Newest())
	r := l.lease.Roster()
	if len(r.Entries) == 0 {
		return r, false
	}
	all := r.WithNewer()
	newest := all[len(all)-1].Version
	switch l.tenure.Observe(now, r) {
	case rosterhistory.Unchanged:
	case rosterhistory.Changed:
		l.assignments.Clear()
		for _, one := range all {
			l.releaseMoved(now, one)
		}
		l.forward(now, l.released.All(now))
		l.pruneTakenOver()
	case rosterhistory.Interrupted:
		l.assignments.Clear()
		for id := range l.active {
			l.drop(id)
		}
	}
	l.newestRead = newest
	return r, l.inRoster(r)
}

// inRoster reports whether the roster names this run of the daemon.
func (l *Lender) inRoster(r roster.Roster) bool {
	self, incarnation := l.lease.Self()
	e, ok := r.Find(self)
	return ok && e.Incarnation == incarnation
}

func (l *Lender) leads(r roster.Roster, holders []ids.Daemon) bool {
	self, _ := l.lease.Self()
	return slices.Contains(holders, self) && l.inRoster(r)
}

// Lend answers a question of a borrower.
func (l *Lender) Lend(from ids.Daemon, m message.Borrow) message.Lent {
	if m.Question.Borrower.Daemon != from {
		return message.Lent{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	r, ok := l.observeRoster(now)
	if !ok {
		return message.Lent{}
	}
	s, ok := l.activeShare(now, m.Account, r)
	if !ok {
		return message.Lent{}
	}
	if s == nil {
		return message.Lent{Holds: true, Wait: observePeriod}
	}
	s.lastUsed = now
	amount := s.bucket.Lend(now, m.Question)
	l.Common.Invariant.Check(s.bucket.Bounded(), "a holder lends no more than its share", zap.String("account", string(m.Account)))
	short := amount < m.Question.Need
	s.contention.record(now, from, short)
	return message.Lent{Holds: true, Amount: amount, Wait: s.contention.retryDelay(s.bucket.Wait(now, units.Token))}
}

// ShareCount returns how many shares are in memory.
func (l *Lender) ShareCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.active)
}
