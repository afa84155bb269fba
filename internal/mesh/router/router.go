// Package router serves each caller's request: it finds the route, checks the key and
// the client account's limit, picks targets, and retries within the deadline.
//
// # Usage
//
//	answer, err := r.Serve(ctx, inbound) // err is a *verdict.Error
//
// It does not depend on connections or message encodings, so that another front end can
// use it.
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
	"balsamwharf.example/balsamwharf/internal/mesh/admission"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
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
	// retryAfter is how long a refused caller is told to wait before it tries again.
	retryAfter = 300 * time.Millisecond
)

// Router serves callers' requests. Serve may be called from several goroutines.
type Router struct {
	Common *common.Common

	config     *config.Config
	admission  *admission.Admission
	evacuation *evacuation.Table
	registry   *registry.Registry
	gate       *gate.Gate
	forward    *forward.Forward
	quota      *quota.Quota
	reachable  *reachable.Tracker
	loads      *loadview.Table
	split      split.Split
	size       size.Estimator
	counts     *counts
	// newestVersion is the newest configuration version that a request was handled by.
	newestVersion atomic.Uint64
}

// Name implements service.Service.
func (r *Router) Name() service.Name { return "router" }

// Needs implements service.Service.
func (r *Router) Needs() []service.Name {
	return []service.Name{"admission", "config", "evacuation", "registry", "gate", "forward", "quota", "reachable", "loadview"}
}

// Start implements service.Service.
func (r *Router) Start(_ context.Context, f service.Finder) error {
	r.counts = newCounts(r.Common.Metrics)
	if err := errors.Join(kernel.Bind(f, "admission", &r.admission), kernel.Bind(f, "evacuation", &r.evacuation)); err != nil {
		return err
	}
	r.evacuation.Subscribe(r.logEvacuatedServices)
	return errors.Join(
		kernel.Bind(f, "config", &r.config),
		kernel.Bind(f, "registry", &r.registry),
		kernel.Bind(f, "gate", &r.gate),
		kernel.Bind(f, "forward", &r.forward),
		kernel.Bind(f, "quota", &r.quota),
		kernel.Bind(f, "reachable", &r.reachable),
		kernel.Bind(f, "loadview", &r.loads),
	)
}

// Stop implements service.Service.
func (r *Router) Stop(context.Context) error { return nil }

// Serve handles one request and blocks until it is answered or refused. The error is a
// *verdict.Error that says whether the request may have run.
func (r *Router) Serve(ctx context.Context, a request.Inbound) (request.Answer, error) {
	x := &exchange{inbound: a, startedAt: r.Common.Clock.Now()}
	answer, err := r.serve(ctx, x)
	if x.route.Public && (err != nil || answer.Status >= http.StatusInternalServerError) {
		r.gate.RecordNestedFailure(r.Common.Clock.Now())
	}
	r.assertGuarantees(x, err)
	r.recordEnd(x, answer, err)
	return answer, err
}

func (r *Router) serve(ctx context.Context, x *exchange) (request.Answer, error) {
	if err := r.resolve(x); err != nil {
		return request.Answer{}, err
	}
	ctx, cancel := r.Common.Clock.WithTimeout(ctx, x.timeout())
	defer cancel()
	if err := r.admit(ctx, x); err != nil {
		return request.Answer{}, err
	}
	x.outbound = outboundOf(x, r.Common.Mesh.Target.Service)
	r.assertKeyRemoved(x)
	if x.route.Public {
		x.parentRetry = r.gate.RetryShare()
	}
	return r.tryTargets(ctx, x)
}

// resolve finds the route and the service of the request and authenticates its key.
func (r *Router) resolve(x *exchange) error {
	p, ok := r.config.Policy()
	if !ok {
		return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no configuration is known yet").After(retryAfter)
	}
	r.assertVersionOrder(p)
	x.version = p.Version
	if x.route, ok = p.Match(x.inbound.Host, x.inbound.Path); !ok {
		return verdict.New(verdict.Unrun, http.StatusNotFound, "no route matches the host and path")
	}
	x.service = r.split.Next(x.route.ID, x.route.Clusters, rand.Float64)
	if x.route.Public || !p.KeyRequired {
		return nil
	}
	if x.account, ok = p.Account(bearer.HashOf(x.inbound.Key)); !ok {
		return verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key is missing or not valid")
	}
	return nil
}

// admit refuses the request when its client account is over its rate limit.
func (r *Router) admit(ctx context.Context, x *exchange) error {
	if x.account.ID == "" {
		return nil
	}
	x.quota = r.quota.Admit(ctx, x.account)
	if x.quota.Admitted {
		return nil
	}
	return verdict.New(verdict.Unrun, http.StatusTooManyRequests, "the client account is over its rate").After(x.quota.RetryAfter)
}

func outboundOf(x *exchange, caller ids.Service) request.Outbound {
	a := x.inbound
	return request.Outbound{
		ID: a.ID, Method: a.Method, Target: a.Target, Host: a.Host, Header: a.Header,
		Caller: caller, Account: x.account.ID, Body: a.Body, Answers: a.Answers,
	}
}

func termsOf(x *exchange, remaining, waited time.Duration) request.Terms {
	return request.Terms{
		MaxQueueTime: x.maxQueueTime(remaining, waited),
		Service:      x.service, Idempotent: x.route.Idempotent, Nested: x.route.Public,
		Rank: rankOf(x.route, x.account), Remaining: remaining, IgnoreBreaker: x.ignoreBreaker,
		Retry: x.sent > 0, ParentRetry: x.parentRetry,
	}
}

const (
	// queueShare is the fraction of the objective that a request may spend in queues. An
	// answer that comes later is worth little, and its slot could serve another request
	// in time.
	queueShare = 0.3
	// nestedShare is the fraction of the remaining time that a nested request may wait in
	// a queue. It waits longer than others, since the request that made it already runs
	// and fails without it.
	nestedShare = 0.6
)

// maxQueueTime returns how long the request may wait for a slot, given the time that remains
// and the time that it has already waited.
func (x *exchange) maxQueueTime(remaining, waited time.Duration) time.Duration {
	if x.route.Public {
		return time.Duration(nestedShare * float64(remaining))
	}
	if x.entry != nil {
		// It has waited in turn, and no longer than is of use.
		return time.Duration(queueShare * float64(x.objective()))
	}
	return max(time.Duration(queueShare*float64(x.objective()))-waited, 0)
}

// rankStep separates the ranks of accounts from those of routes.
const rankStep = 100

// rankOf orders requests by the rank of the account first and of the route second.
func rankOf(route policy.Route, account policy.Account) ids.Rank {
	if !account.HasRank {
		return route.Rank
	}
	return account.Rank*rankStep + route.Rank
}
