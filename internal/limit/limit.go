// Package limit keeps each client account within its rate and burst, summed over all
// VMs.
//
// # Usage
//
//	err := l.Admit(ctx, account, settings) // a verdict error with status 429
//
// It borrows tokens in batches from the account's quota leaders, each of which has a
// share of the limits. A request that finds no cached token waits for one until its
// deadline, in order of arrival.
package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/lru"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// maxWaiters bounds the requests of one account that wait for a token.
	maxWaiters = 1024
	// sweepPeriod is how often unused tokens are returned.
	sweepPeriod = lender.BatchLifetime / 4
	// accountRetention is how long an account stays in memory after its last request.
	accountRetention = 10 * time.Second
	// cachedShares bounds the number of accounts whose leaders are cached.
	cachedShares = 4096
)

// Limiter admits requests of client accounts. It borrows and consumes tokens for the
// accounts with recent requests.
type Limiter struct {
	Common *common.Common

	lease      leasecheck.Checker
	peers      peer.Caller
	lender     *lender.Lender
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	lastNumber atomic.Uint64
	requests   metrics.Counter
	admitted   metrics.Counter

	mu       sync.Mutex
	accounts map[ids.Account]*account
	shares   lru.Cache[shareKey, share.Share]
}

// shareKey identifies an account's share under a roster. Rosters without a version are
// distinguished by their length only; a confusion costs a request to a daemon that isn't
// a leader.
type shareKey struct {
	account ids.Account
	limits  settings.Account
	version ids.Offset
	length  int
	// excluded is a daemon that is taken out of the roster, or empty.
	excluded ids.Daemon
}

// Name implements service.Service.
func (l *Limiter) Name() service.Name { return "limit" }

// Needs implements service.Service.
func (l *Limiter) Needs() []service.Name {
	return []service.Name{"timer", "confirm", "dial", "lender"}
}

// Start implements service.Service.
func (l *Limiter) Start(ctx context.Context, f service.Finder) error {
	var err error
	if l.lease, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if l.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	if l.lender, err = kernel.Find[*lender.Lender](f, "lender"); err != nil {
		return err
	}
	l.accounts = map[ids.Account]*account{}
	l.shares = lru.Cache[shareKey, share.Share]{Limit: cachedShares}
	l.requests = metric.TokenRequests.Counter(l.Common.Metrics)
	l.admitted = metric.Admitted.Counter(l.Common.Metrics)
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(l.sweep)
	return nil
}

// Stop ends the borrowing tasks. No request is waiting then, because package ingress stops
// first.
func (l *Limiter) Stop(context.Context) error {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.tasks.Wait()
	return nil
}

// Admit consumes one token of the account. It blocks until there is one or ctx ends, and
// returns a verdict error with status 429 when the account is over its rate.
func (l *Limiter) Admit(ctx context.Context, id ids.Account, a settings.Account) error {
	w, err := l.admitOrQueue(ctx, id, a)
	if err != nil || w == nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return l.withdraw(id, w)
	}
}

// admitOrQueue consumes a cached token, or appends the request to the queue and returns
// its waiter.
func (l *Limiter) admitOrQueue(ctx context.Context, id ids.Account, a settings.Account) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	acc := l.accountOf(id)
	acc.limits = a
	acc.lastUsed = now
	acc.demand.record(now)
	if len(acc.queue) == 0 && l.consumeCached(now, acc) {
		l.prefetch(now, acc)
		return nil, nil
	}
	if len(acc.queue) >= maxWaiters {
		return nil, overRate(a, len(acc.queue))
	}
	w := &waiter{done: make(chan error, 1), deadline: l.deadline(ctx, now)}
	if cannotMeetDeadline(now, w, a, len(acc.queue)) {
		return nil, overRate(a, len(acc.queue))
	}
	acc.queue = append(acc.queue, w)
	l.startBorrowing(acc)
	return w, nil
}

// consumeCached consumes one cached token of the account. The caller holds the lock.
func (l *Limiter) consumeCached(now units.Instant, acc *account) bool {
	expiresAt, ok := acc.cached.Consume(now, units.Token)
	if !ok {
		return false
	}
	l.Common.Invariant.Check(now.Before(expiresAt), "a borrower spends no batch that has ended")
	l.admitted.Inc(1)
	return true
}

// prefetch starts to borrow ahead of demand when the cached tokens run low.
func (l *Limiter) prefetch(now units.Instant, acc *account) {
	if acc.cached.Balance(now) < acc.demand.prefetchTokens()/2 {
		l.startBorrowing(acc)
	}
}

// startBorrowing starts the account's borrowing task unless it is running. The caller
// holds the lock.
func (l *Limiter) startBorrowing(acc *account) {
	if acc.borrowing || l.ctx.Err() != nil {
		return
	}
	acc.borrowing = true
	l.tasks.Go(func() { l.borrowUntilServed(acc) })
}

// withdraw removes a request from the queue after its deadline has passed or its caller
// has disconnected.
func (l *Limiter) withdraw(id ids.Account, w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	acc := l.accountOf(id)
	for i, other := range acc.queue {
		if other == w {
			acc.queue = append(acc.queue[:i:i], acc.queue[i+1:]...)
			return overRate(acc.limits, i)
		}
	}
	// It is no longer in the queue, so it has been answered meanwhile.
	return <-w.done
}

func (l *Limiter) deadline(ctx context.Context, now units.Instant) units.Instant {
	left, ok := l.Common.Clock.Remaining(ctx)
	if !ok {
		return noDeadline
	}
	return now.Add(left)
}

func (l *Limiter) accountOf(id ids.Account) *account {
	acc, ok := l.accounts[id]
	if !ok {
		acc = &account{id: id, unanswered: map[ids.Daemon][]uint64{}, avoidUntil: map[ids.Daemon]units.Instant{}}
		l.accounts[id] = acc
	}
	return acc
}

// AccountCount returns how many accounts are in memory.
func (l *Limiter) AccountCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}

// RequestCount returns how many requests for tokens were sent to quota leaders.
func (l *Limiter) RequestCount() int64 { return l.requests.Count() }
