// Package lender is the quota leader's side of the client accounts' limits: it keeps this
// daemon's shares and lends tokens of them to the daemons that admit requests.
//
// # Usage
//
//	lent := l.Lend(from, message.Borrow{Account: id, Question: q})
//
// Tokens are lent only while this daemon is confirmed and its incarnation is in the roster
// in force. The share of a new quota leader starts with the balance that the earlier one
// handed over; without one it starts empty, and fills only from when no tokens of an
// earlier leader can be spent any more.
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
	// BatchLifetime is how long a borrower may spend a batch, counted from when it sent
	// the request.
	BatchLifetime = 500 * time.Millisecond
	// lifetimeMargin is how much longer the leader counts a batch than its borrower does,
	// because clocks run at slightly different rates.
	lifetimeMargin = 10 * time.Millisecond
	// observePeriod is the period of observing the roster. maxObserveGap is the longest
	// time between two observations after which the shares are still valid.
	observePeriod = 100 * time.Millisecond
	maxObserveGap = 500 * time.Millisecond
	// batchDrainTime is how long borrowers may spend tokens after a leader has released
	// its share.
	batchDrainTime = BatchLifetime + lifetimeMargin
	// takeoverWait is how long a new leader's share stays empty after its roster came into
	// force: until an earlier leader that missed the roster has noticed it, and the batches
	// of that leader have expired.
	takeoverWait = maxObserveGap + batchDrainTime
	// idleRetention is the least time that an unused share stays in memory.
	idleRetention = 10 * time.Second

	maxRosters   = 8
	cachedShares = 4096
	// cachedLeaderLists leaves room for the leaders of the accounts in use under each of
	// the retained rosters.
	cachedLeaderLists = 16384
	maxReleasedShares = 16384
	releasedRetention = 2 * time.Minute
)

// Viewer gives read access to the shared settings. Package tail implements it.
type Viewer interface {
	View(read func(*replay.State))
}

// ForceTracker returns the newest offset that is known to be in force. Package force
// implements it.
type ForceTracker interface {
	Newest() ids.Offset
}

// Lender keeps the recently used shares of this daemon and lends tokens of them.
type Lender struct {
	Common *common.Common

	lease        leasecheck.Checker
	settings     Viewer
	forceTracker ForceTracker
	peers        peer.Caller
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        sync.WaitGroup

	mu           sync.Mutex
	stopped      bool
	history      rosterhistory.History
	forceHistory forceHistory
	active       map[ids.Account]*activeShare
	assignments  lru.Cache[assignmentKey, assignment]
	leaderLists  lru.Cache[leaderListKey, []ids.Daemon]
	released     transfer.Store
	// takenOver holds the roster under which each account's share was taken over.
	takenOver map[ids.Account]ids.Offset
	// lentFrom holds the keys of the shares of ended processes that this daemon has taken
	// over as a standby.
	lentFrom map[transfer.Key]bool
	// newestRead is the version of the newest roster read.
	newestRead ids.Offset
	// lastDrop is the offset of the settings when a share that may not have been full was
	// last dropped.
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
	if l.settings, err = kernel.Find[Viewer](f, "tail"); err != nil {
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
	l.history = rosterhistory.History{MaxGap: maxObserveGap, Limit: maxRosters}
	l.active = map[ids.Account]*activeShare{}
	l.assignments = lru.Cache[assignmentKey, assignment]{Limit: cachedShares}
	l.leaderLists = lru.Cache[leaderListKey, []ids.Daemon]{Limit: cachedLeaderLists}
	l.released = transfer.Store{Limit: maxReleasedShares, Retention: releasedRetention}
	l.takenOver = map[ids.Account]ids.Offset{}
	l.lentFrom = map[transfer.Key]bool{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(l.run)
	return nil
}

// Stop hands all shares over, within ctx, and ends the tasks.
func (l *Lender) Stop(ctx context.Context) error {
	l.sendHandovers(ctx, l.releaseAll())
	l.cancel()
	l.tasks.Wait()
	return nil
}

// run observes the roster periodically and evicts shares that are full and unused.
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

// observeRoster records the roster in force and releases or drops the shares that it
// moves. It reports whether this daemon may lend. The caller holds the lock.
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
	switch l.history.Observe(now, r) {
	case rosterhistory.Unchanged:
	case rosterhistory.Changed:
		l.assignments.Clear()
		for _, one := range all {
			l.releaseMoved(now, one)
		}
		l.forward(now, l.released.Unexpired(now))
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

// inRoster reports whether the roster names this process of the daemon.
func (l *Lender) inRoster(r roster.Roster) bool {
	self, incarnation := l.lease.Self()
	e, ok := r.Find(self)
	return ok && e.Incarnation == incarnation
}

func (l *Lender) leads(r roster.Roster, leaders []ids.Daemon) bool {
	self, _ := l.lease.Self()
	return slices.Contains(leaders, self) && l.inRoster(r)
}

// Lend answers a borrower's request. Lent.IsLeader is false when this daemon has no share of
// the account, may not lend, or the request is in the name of another daemon than from.
func (l *Lender) Lend(from ids.Daemon, m message.Borrow) message.Lent {
	if m.Request.Borrower.Daemon != from {
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
		return message.Lent{IsLeader: true, Wait: observePeriod}
	}
	s.lastUsed = now
	amount := s.bucket.Lend(now, m.Request)
	l.Common.Invariant.Check(s.bucket.Bounded(), "a holder lends no more than its share", zap.String("account", string(m.Account)))
	short := amount < m.Request.Need
	s.contention.record(now, from, short)
	return message.Lent{IsLeader: true, Amount: amount, Wait: s.contention.retryDelay(s.bucket.TimeUntil(now, units.Token))}
}

// ShareCount returns the number of shares in memory.
func (l *Lender) ShareCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.active)
}
