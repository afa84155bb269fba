package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/balancer"
	"balsamwharf.example/balsamwharf/internal/mesh/forward"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/quota"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// reofferDelay is the pause before gatekeepers that declined are asked again: about
	// the pause between two trials of a breaker.
	reofferDelay = 60 * time.Millisecond
	// breakerWaitShare is the part of the objective during which a request waits for a
	// target that takes it; afterwards it insists or comes back later.
	breakerWaitShare = 0.35
	// minRetriesForOwnFailure is how many repeats must be left to spend one on a failure that is
	// probably the request's own: most of these fail again at another target.
	minRetriesForOwnFailure = 3
	// defaultObjective stands in for a route without an objective.
	defaultObjective = time.Second
)

// exchange is one request on its way.
type exchange struct {
	inbound   request.Inbound
	startedAt units.Instant
	version   ids.Version
	route     policy.Route
	account   policy.Account
	quota     quota.Decision
	service   ids.Service
	outbound  request.Outbound
	// parentRetry is how likely a repeat made this request.
	parentRetry float64

	// sent counts the targets that may have got the request, and ran those that may have
	// run it.
	sent, ran int
	// skipped holds the gatekeepers that are not asked again for now.
	skipped map[ids.Address]bool
	// reached holds those whose target got the request.
	reached map[ids.Address]bool
	// lastTried is the one that was asked last, and failedAt the last one at which the request
	// was lost or failed.
	lastTried, failedAt registry.Registration
	// failureAnswer is the last answer that told of a failureAnswer of a target.
	failureAnswer *request.Answer
	// breakerOpen is set when other requests failed there too.
	breakerOpen bool
	// lost is set when an attempt may have run without an answer.
	lost          bool
	ignoreBreaker bool
}

// timeout returns how long the caller may be kept waiting.
func (x *exchange) timeout() time.Duration {
	t := x.inbound.Timeout
	if x.route.Timeout > 0 && (t <= 0 || x.route.Timeout < t) {
		t = x.route.Timeout
	}
	if t <= 0 {
		return defaultTimeout
	}
	return t
}

func (x *exchange) objective() time.Duration {
	if x.route.Objective > 0 {
		return x.route.Objective
	}
	return defaultObjective
}

// tryTargets tries targets until one answers or the request has to be given up.
func (r *Router) tryTargets(ctx context.Context, x *exchange) (request.Answer, error) {
	x.skipped, x.reached = map[ids.Address]bool{}, map[ids.Address]bool{}
	for {
		to, ok := r.pickGatekeeper(x)
		if !ok {
			if !r.waitToReoffer(ctx, x) {
				return r.giveUp(ctx, x)
			}
			continue
		}
		answer, done := r.sendAttempt(ctx, x, to)
		if done {
			return answer, nil
		}
		if ctx.Err() != nil || !r.mayRetry(x) {
			return r.giveUp(ctx, x)
		}
	}
}

// sendAttempt sends the request to one target and learns from the result.
func (r *Router) sendAttempt(ctx context.Context, x *exchange, to registry.Registration) (request.Answer, bool) {
	x.lastTried = to
	left, _ := r.Common.Clock.Left(ctx)
	r.loads.CountRequest(to.Address)
	waited := r.Common.Clock.Now().Sub(x.startedAt)
	return r.applyResult(x, to, r.forward.Send(ctx, to, termsOf(x, left, waited), x.outbound))
}

// applyResult notes what the result says of the target and of the request.
func (r *Router) applyResult(x *exchange, to registry.Registration, result forward.Result) (request.Answer, bool) {
	now := r.Common.Clock.Now()
	x.skipped[to.Address] = true
	switch m := result.(type) {
	case forward.Answered:
		r.loads.RecordAnswer(to.Address, m.Load, now)
		x.markReached(to)
		x.ran++
		if m.Failure {
			x.failureAnswer, x.breakerOpen, x.failedAt = &m.Answer, m.Load.BreakerOpen, to
			r.recordFailedAttempt(x, "failed", http.StatusText(m.Answer.Status))
			return request.Answer{}, false
		}
		x.failedAt = registry.Registration{}
		r.counts.addAttempt("answered")
		r.size.Observe(x.route.ID, units.Bytes(len(x.inbound.Body)+len(m.Answer.Body)))
		return m.Answer, true
	case forward.Declined:
		r.loads.RecordAnswer(to.Address, m.Load, now)
		if m.Reason == link.ReasonNoTarget || m.Reason == link.ReasonLeaving {
			r.loads.RecordNoTarget(to.Address, now)
		}
		r.recordFailedAttempt(x, "declined", string(m.Reason))
	case forward.Unrun:
		if m.ReachedTarget {
			x.markReached(to)
		}
		r.recordFailedAttempt(x, "unrun", m.Detail)
	case forward.Lost:
		x.markReached(to)
		x.ran++
		x.lost, x.failedAt = true, to
		r.recordFailedAttempt(x, "lost", m.Detail)
	}
	return request.Answer{}, false
}

func (x *exchange) markReached(to registry.Registration) {
	x.sent++
	x.reached[to.Address] = true
}

func (r *Router) recordFailedAttempt(x *exchange, how, detail string) {
	r.counts.addAttempt(how)
	r.Common.Info(event.AttemptFailed,
		zap.String("id", string(x.inbound.ID)), zap.String("daemon", string(x.lastTried.Daemon)),
		zap.String("target", string(x.lastTried.Target)), zap.String("how", how), zap.String("detail", detail),
		zap.Int("sent", x.sent), zap.Duration("after", r.Common.Clock.Now().Sub(x.startedAt)))
}

// decisiveTarget returns the target whose doing the end of the request was.
func (x *exchange) decisiveTarget() registry.Registration {
	if x.failedAt.Address == "" {
		return x.lastTried
	}
	return x.failedAt
}

// mayRetry reports whether the request may go to another target. One that no target
// has seen may always; another one only if it is idempotent or was turned away.
func (r *Router) mayRetry(x *exchange) bool {
	if x.sent == 0 {
		return true
	}
	if (x.lost || x.failureAnswer != nil) && !x.route.Idempotent {
		return false
	}
	if x.sent >= max(x.route.Attempts, 1) {
		return false
	}
	return x.failureAnswer == nil || x.breakerOpen || r.retriesLeft(x.service) >= minRetriesForOwnFailure
}

// retriesLeft returns how many repeats the gatekeepers of a service let through, as far as
// is known.
func (r *Router) retriesLeft(s ids.Service) int {
	now, left := r.Common.Clock.Now(), 0
	for _, rec := range r.registry.Serving(s) {
		if rec.Address == r.Common.Mesh.Sockets.Known() {
			left += r.gate.Load().RetriesLeft
		} else {
			left += r.loads.View(rec.Address, rec.Slots, now).RetriesLeft
		}
	}
	return left
}

// pickGatekeeper picks a gatekeeper that was not asked yet.
func (r *Router) pickGatekeeper(x *exchange) (registry.Registration, bool) {
	now := r.Common.Clock.Now()
	records := r.registry.Serving(x.service)
	list := make([]balancer.Candidate, len(records))
	mayTry := r.mayProbe(x)
	for i, rec := range records {
		list[i] = r.candidate(x, rec, now)
		list[i].Probe = list[i].Probe && mayTry
	}
	i := balancer.Pick(list, rand.Float64)
	if i < 0 {
		return registry.Registration{}, false
	}
	return records[i], true
}

// mayProbe reports whether the request may be a trial: it must be able to go to another
// target afterwards.
func (r *Router) mayProbe(x *exchange) bool {
	return x.route.Idempotent && x.sent == 0 && x.route.Attempts > 1 && r.retriesLeft(x.service) >= 1
}

// candidate gathers what is known of one target.
func (r *Router) candidate(x *exchange, rec registry.Registration, now units.Instant) balancer.Candidate {
	c := balancer.Candidate{
		Local: rec.Address == r.Common.Mesh.Sockets.Known(), SameCentre: rec.Centre == r.Common.Mesh.Identity.Centre,
		Size: r.size.Estimate(x.route.ID), Slots: rec.Slots, Tried: x.skipped[rec.Address] || x.reached[rec.Address],
		IgnoreBreaker: x.ignoreBreaker,
	}
	if c.Local {
		load := r.gate.Load()
		c.InFlight, c.BreakerOpen, c.Warmup = float64(load.Running+load.Waiting), load.BreakerOpen, r.gate.Warmup()
		c.Probe = load.BreakerOpen && load.ProbeIn == 0
	} else {
		view := r.loads.View(rec.Address, rec.Slots, now)
		c.InFlight, c.BreakerOpen, c.Probe = view.InFlight, view.BreakerOpen, view.Probe
		// Others tell only that their breaker opens or closes, and are silent in between.
		silent := c.SameCentre && view.Stale
		c.Suspected = view.NoTarget || silent || r.reachable.Suspected(rec.Address)
	}
	return c
}

// waitToReoffer waits a moment after all gatekeepers declined and lets the request ask them
// again; it is false when there is no use in that.
func (r *Router) waitToReoffer(ctx context.Context, x *exchange) bool {
	if x.sent > 0 || len(r.registry.Serving(x.service)) == 0 || x.ignoreBreaker {
		return false
	}
	waited := r.Common.Clock.Now().Sub(x.startedAt)
	if waited > time.Duration(breakerWaitShare*float64(x.objective())) {
		x.ignoreBreaker = true
		x.skipped = map[ids.Address]bool{}
		return true
	}
	r.allowCentreAgain(x)
	return r.Common.Clock.Sleep(ctx, reofferDelay) == nil
}

// allowCentreAgain lets the request ask the gatekeepers of its own data centre once more.
// Others were asked once; every offer to them is priced.
func (r *Router) allowCentreAgain(x *exchange) {
	for _, rec := range r.registry.Serving(x.service) {
		if rec.Centre == r.Common.Mesh.Identity.Centre {
			delete(x.skipped, rec.Address)
		}
	}
}

// giveUp returns the answer of a request that no target answered well.
func (r *Router) giveUp(ctx context.Context, x *exchange) (request.Answer, error) {
	if x.failureAnswer != nil {
		return *x.failureAnswer, nil
	}
	left := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case x.lost && left:
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusBadGateway, context.Cause(ctx).Error())
	case x.lost && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusGatewayTimeout, "no answer came in time")
	case x.lost:
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusBadGateway, "the target gave no usable answer")
	case left:
		return request.Answer{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, context.Cause(ctx).Error()).After(retryAfter)
	}
	return request.Answer{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no target took the request").After(retryAfter)
}
