// Package quota keeps each client account to its rate and burst over all daemons.
//
// # Usage
//
//	d := q.Admit(ctx, account)
//	if !d.Admitted { come back in d.Retry }
//
// One daemon holds the bucket of an account, chosen by highest random weight among
// the daemons that can be reached. Others borrow from it, one request at a time while
// requests are few. A holder that a daemon can't reach is asked through a neighbour, so
// that daemons with different views don't use different holders. While that fails too, a
// share of the limit applies, and after a while another daemon becomes the holder.
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
	// borrowTimeout is for one question, with room for a busy holder and a lost packet.
	borrowTimeout = 250 * time.Millisecond
	// forwardTimeout is for a question that is passed on for a neighbour.
	forwardTimeout = 150 * time.Millisecond
	// failoverAfter is how long a holder is silent, also to neighbours, until another one
	// takes its place.
	failoverAfter = 1500 * time.Millisecond
	// fallbackTime is how long one failed question keeps to the local share.
	fallbackTime = 300 * time.Millisecond
	// exhaustedPause spares the holder of an exhausted account further questions.
	exhaustedPause = 50 * time.Millisecond
	// batchDuration is the demand that one question covers.
	batchDuration = 50 * time.Millisecond
	// tokenTTL is how long borrowed requests may be used.
	tokenTTL = 500 * time.Millisecond
)

// Quota admits requests of client accounts.
type Quota struct {
	Common *common.Common

	registry      *registry.Registry
	config    *config.Config
	link      *link.Link
	reachable *reachable.Tracker

	// ctx ends with the daemon.
	ctx context.Context
	mu  sync.Mutex
	// unresponsiveSince holds when each daemon that did not answer was first found so.
	unresponsiveSince map[ids.Address]units.Instant
	led   map[ids.Account]*leaderState
	borrowers  map[ids.Account]*borrowerState

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
	return errors.Join(
		kernel.Bind(f, "registry", &q.registry),
		kernel.Bind(f, "config", &q.config),
		kernel.Bind(f, "link", &q.link),
		kernel.Bind(f, "reachable", &q.reachable),
		metric.AccountsHeld.Follow(q.Common.Metrics, func() int64 { return int64(q.countLed()) }),
		metric.AccountsAlone.Follow(q.Common.Metrics, func() int64 { return int64(q.countFallback()) }),
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

// Admit takes leave for one request.
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
	if how, admitted := q.decideLocally(a, now); how != "" {
		d.Basis, d.Admitted = how, admitted
		return d
	}
	d.Basis, d.Admitted = q.borrow(ctx, a, d.Leader)
	return d
}

// retryAfter returns when an account may have room for a request again.
func retryAfter(a policy.Account) time.Duration {
	return time.Duration(float64(time.Second) * math.Min(math.Max(2/float64(a.Rate), 0.1), 2))
}
