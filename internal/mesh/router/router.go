// Package router decides on each request of a caller: route, key, limit, target,
// attempts and deadline.
//
// # Usage
//
//	answer, err := r.Serve(ctx, arrival) // err is a *verdict.Error
//
// It knows nothing of connections, so that another front end can use it.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/forward"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/loadview"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/quota"
	"balsamwharf.example/balsamwharf/internal/mesh/reachable"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/mesh/size"
	"balsamwharf.example/balsamwharf/internal/mesh/split"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// defaultTimeout applies when neither the caller nor the route sets one.
	defaultTimeout = 10 * time.Second
	// comeBack is when a caller may find what was missing.
	comeBack = 300 * time.Millisecond
)

// Router serves callers' requests.
type Router struct {
	Common *common.Common

	config    *config.Config
	roll      *registry.Registry
	gate      *gate.Gate
	forward   *forward.Forward
	quota     *quota.Quota
	reachable *reachable.Tracker
	sight     *loadview.Table
	split     split.Split
	size      size.Estimator
	counts    *counts
	// newest is the newest version that a request was handled by.
	newest atomic.Uint64
}

// Name implements service.Service.
func (r *Router) Name() service.Name { return "router" }

// Needs implements service.Service.
func (r *Router) Needs() []service.Name {
	return []service.Name{"config", "registry", "gate", "forward", "quota", "reachable", "sight"}
}

// Start implements service.Service.
func (r *Router) Start(_ context.Context, f service.Finder) error {
	r.counts = newCounts(r.Common.Metrics)
	return errors.Join(
		kernel.Bind(f, "config", &r.config),
		kernel.Bind(f, "registry", &r.roll),
		kernel.Bind(f, "gate", &r.gate),
		kernel.Bind(f, "forward", &r.forward),
		kernel.Bind(f, "quota", &r.quota),
		kernel.Bind(f, "reachable", &r.reachable),
		kernel.Bind(f, "sight", &r.sight),
	)
}

// Stop implements service.Service.
func (r *Router) Stop(context.Context) error { return nil }

// Serve runs one request.
func (r *Router) Serve(ctx context.Context, a request.Inbound) (request.Answer, error) {
	j := &journey{arrival: a, began: r.Common.Clock.Now()}
	answer, err := r.serve(ctx, j)
	if j.route.Public && (err != nil || answer.Status >= http.StatusInternalServerError) {
		r.gate.InnerFailed(r.Common.Clock.Now())
	}
	r.keep(j, err)
	r.note(j, answer, err)
	return answer, err
}

func (r *Router) serve(ctx context.Context, j *journey) (request.Answer, error) {
	if err := r.rule(j); err != nil {
		return request.Answer{}, err
	}
	ctx, cancel := r.Common.Clock.Within(ctx, j.timeout())
	defer cancel()
	if err := r.admit(ctx, j); err != nil {
		return request.Answer{}, err
	}
	j.order = orderOf(j, r.Common.Mesh.Target.Service)
	r.keepKey(j)
	if j.route.Public {
		j.parentRepeat = r.gate.RepeatShare()
	}
	return r.attempts(ctx, j)
}

// rule finds the route and checks the key.
func (r *Router) rule(j *journey) error {
	p, ok := r.config.Policy()
	if !ok {
		return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no configuration is known yet").After(comeBack)
	}
	r.keepVersion(p)
	j.version = p.Version
	if j.route, ok = p.Match(j.arrival.Host, j.arrival.Path); !ok {
		return verdict.New(verdict.Unrun, http.StatusNotFound, "no route matches the host and path")
	}
	j.service = r.split.Next(j.route.ID, j.route.Clusters, rand.Float64)
	if j.route.Public || !p.KeyRequired {
		return nil
	}
	if j.account, ok = p.Account(bearer.HashOf(j.arrival.Key)); !ok {
		return verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key is missing or not valid")
	}
	return nil
}

// admit keeps the client account to its limit.
func (r *Router) admit(ctx context.Context, j *journey) error {
	if j.account.ID == "" {
		return nil
	}
	j.quota = r.quota.Admit(ctx, j.account)
	if j.quota.Admitted {
		return nil
	}
	return verdict.New(verdict.Unrun, http.StatusTooManyRequests, "the client account is over its rate").After(j.quota.RetryAfter)
}

func orderOf(j *journey, caller ids.Service) request.Outbound {
	a := j.arrival
	return request.Outbound{
		ID: a.ID, Method: a.Method, Target: a.Target, Host: a.Host, Header: a.Header,
		Caller: caller, Account: j.account.ID, Body: a.Body,
	}
}

func termsOf(j *journey, left, waited time.Duration) request.Terms {
	return request.Terms{
		Wait:    j.usefulWait(left, waited),
		Service: j.service, Idempotent: j.route.Idempotent, Inner: j.route.Public,
		Rank: rankOf(j.route, j.account), Remaining: left, Insist: j.insist,
		Retry: j.sent > 0, ParentRepeat: j.parentRepeat,
	}
}

const (
	// queueShare is the part of the objective that a request may spend in queues. A
	// later answer earns little, and its slot could serve another one in time.
	queueShare = 0.3
	// innerShare is the part of the time left that an inner request may wait; without
	// it a request that already runs fails.
	innerShare = 0.6
)

// usefulWait returns how long the request may wait for a slot.
func (j *journey) usefulWait(left, waited time.Duration) time.Duration {
	if j.route.Public {
		return time.Duration(innerShare * float64(left))
	}
	return max(time.Duration(queueShare*float64(j.aim()))-waited, 0)
}

// rankStep keeps the ranks of accounts apart from those of routes.
const rankStep = 100

// rankOf puts the rank of the account before that of the route.
func rankOf(route policy.Route, account policy.Account) ids.Rank {
	if !account.HasRank {
		return route.Rank
	}
	return account.Rank*rankStep + route.Rank
}
