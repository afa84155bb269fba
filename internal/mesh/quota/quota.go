// Package quota enforces the rate and burst of each client account over all daemons.
//
// # Usage
//
//	d := q.Admit(ctx, account)
//	if !d.Admitted { come back in d.RetryAfter }
//
// Each account has a quota leader, which holds the token bucket. It is the daemon with the
// highest random weight among those that can be reached. Other daemons borrow tokens from it,
// one at a time while requests are rare. A daemon that can't reach the leader asks it through a
// neighbour, so that daemons with different views of the fleet don't use different leaders.
// While that fails too, the daemon uses a fallback share of the limit, and after a while
// another daemon becomes the leader.
//
// Log lines and metrics call the leader holder, and the use of the fallback share alone.
package quota

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/reachable"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// borrowTimeout bounds one Borrow, with room for a busy leader and a lost packet.
	borrowTimeout = 250 * time.Millisecond
	// forwardTimeout bounds a Borrow that is forwarded for a neighbour.
	forwardTimeout = 150 * time.Millisecond
	// failoverAfter is after how long without an answer, also to neighbours, a leader is replaced
	// by another daemon.
	failoverAfter = 1500 * time.Millisecond
	// fallbackTime is for how long the fallback share is used after one failed Borrow.
	fallbackTime = 300 * time.Millisecond
	// exhaustedPause is the time between Borrows while the account is exhausted, to spare its
	// leader.
	exhaustedPause = 50 * time.Millisecond
	// batchDuration is the time whose demand one Borrow covers.
	batchDuration = 50 * time.Millisecond
	// tokenTTL is how long borrowed tokens may be used.
	tokenTTL = 500 * time.Millisecond
)

// caller sends messages to other daemons.
type caller interface {
	Call(ctx context.Context, to ids.Address, m link.Message) (link.Message, error)
}

// Quota decides on the admission of client accounts' requests.
type Quota struct {
	Common *common.Common
	// Link replaces the service link if it is set.
	Link caller

	registry  *registry.Registry
	config    *config.Config
	reachable *reachable.Tracker

	// ctx ends with the daemon.
	ctx context.Context
	mu  sync.Mutex
	// unresponsiveSince holds the time of the first missing answer of each unresponsive daemon.
	unresponsiveSince map[ids.Address]units.Instant
	led               map[ids.Account]*leaderState
	borrowers         map[ids.Account]*borrowerState

	// probedAt and sampledAt are when the fleet, and a sample of it, was probed last.
	probedAt, sampledAt units.Instant
	// lost is how many daemons are out of reach by the last estimate, which holds until lostUntil.
	lost      float64
	lostUntil units.Instant
	// unreached is set when a daemon that this one reaches had no answer from it, until one borrows.
	unreached bool

	ranking ranking
}

// Name implements service.Service.
func (q *Quota) Name() service.Name { return "quota" }

// Needs implements service.Service.
func (q *Quota) Needs() []service.Name {
	return []service.Name{"timer", "registry", "config", "link", "reachable"}
}

// Start implements service.Service.
func (q *Quota) Start(ctx context.Context, f service.Finder) error {
	q.ctx = ctx
	q.unresponsiveSince = map[ids.Address]units.Instant{}
	q.led = map[ids.Account]*leaderState{}
	q.borrowers = map[ids.Account]*borrowerState{}
	if q.Link == nil {
		var l *link.Link
		if err := kernel.Bind(f, "link", &l); err != nil {
			return err
		}
		q.Link = l
	}
	return errors.Join(
		kernel.Bind(f, "registry", &q.registry),
		kernel.Bind(f, "config", &q.config),
		kernel.Bind(f, "reachable", &q.reachable),
		metric.AccountsLed.Follow(q.Common.Metrics, func() int64 { return int64(q.countLed()) }),
		metric.AccountsOnFallback.Follow(q.Common.Metrics, func() int64 { return int64(q.countFallback()) }),
	)
}

func (q *Quota) countLed() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.led)
}

func (q *Quota) countFallback() int {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.borrowers {
		if now.Before(s.fallbackUntil) {
			n++
		}
	}
	return n
}

// Stop implements service.Service.
func (q *Quota) Stop(context.Context) error { return nil }

// Admit decides on one request and consumes a token for it. It may block to borrow one from
// the account's leader.
func (q *Quota) Admit(ctx context.Context, a policy.Account) Decision {
	if a.Rate <= 0 {
		return Decision{Admitted: true, Basis: BasisUnlimited}
	}
	now := q.Common.Clock.Now()
	d := Decision{Leader: q.leader(a.ID), RetryAfter: retryAfter(a)}
	if d.Leader == q.registry.Own().Address {
		d.Basis, d.Admitted = BasisLeader, q.lendTokens(a, 1, now) > 0
		q.recordLoan(a.ID, now)
		return d
	}
	if how, admitted := q.decideLocally(a, d.Leader, now); how != "" {
		d.Basis, d.Admitted = how, admitted
		return d
	}
	d.Basis, d.Admitted = q.borrow(ctx, a, d.Leader)
	return d
}

// retryAfter returns the time until an account may have a token again.
func retryAfter(a policy.Account) time.Duration {
	return time.Duration(float64(time.Second) * math.Min(math.Max(2/float64(a.Rate), 0.1), 2))
}
