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
	"balsamwharf.example/balsamwharf/internal/mesh/admission"
	"balsamwharf.example/balsamwharf/internal/mesh/balancer"
	"balsamwharf.example/balsamwharf/internal/mesh/forward"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/quota"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/mesh/waitlist"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// reofferDelay is the pause before a request is offered again to gatekeepers that
	// declined it: about the pause between two probe requests of a breaker.
	reofferDelay = 60 * time.Millisecond
	// breakerWaitShare is the fraction of the objective during which a request waits for
	// a target whose breaker admits it. After that it is sent despite open breakers, and
	// if no gatekeeper admits it even then, the caller is told to retry later.
	breakerWaitShare = 0.35
	// minRetriesForOwnFailure is how many retries must be left to spend one on a failure
	// that the request itself probably caused: most of these fail again at another target.
	minRetriesForOwnFailure = 3
	// defaultObjective is the latency objective of a route that sets none.
	defaultObjective = time.Second
)

// exchange is the state of one request while the router serves it.
type exchange struct {
	inbound   request.Inbound
	startedAt units.Instant
	version   ids.Version
	route     policy.Route
	account   policy.Account
	quota     quota.Decision
	service   ids.Service
	outbound  request.Outbound
	// parentRetry is the probability, from 0 to 1, that this request was made by a
	// request that is itself a retry.
	parentRetry float64

	// sent counts the targets that may have received the request, and ran those that may
	// have run it.
	sent, ran int
	// skipped holds the gatekeepers that are not offered the request again for now.
	skipped map[ids.Address]bool
	// reached holds the gatekeepers whose target received the request.
	reached map[ids.Address]bool
	// lastTried is the target of the last attempt, and failedAt the last target at which
	// the request failed or got no answer.
	lastTried, failedAt registry.Registration
	// failureAnswer is the last answer that reports a failure of a target.
	failureAnswer *request.Answer
	// breakerOpen is set when the breaker of the target that gave failureAnswer is open,
	// that is, other requests failed there too.
	breakerOpen bool
	// lost is set when an attempt may have run and no usable answer came.
	lost bool
	// ignoreBreaker is set when targets with an open breaker may get the request.
	ignoreBreaker bool

	// entry and turn are those of a request that waits in turn for room.
	entry *waitlist.Entry
	turn  *admission.Turn
	// offers counts the gatekeepers to which the request was offered in this turn.
	offers int
	// noRoom is set when there is no room in time.
	noRoom bool
}

// timeout returns the shorter one of the caller's and the route's time-out.
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

// tryTargets sends the request to one target after the other until one answers, no
// further attempt is allowed or the context ends. It blocks meanwhile.
func (r *Router) tryTargets(ctx context.Context, x *exchange) (request.Answer, error) {
	x.skipped, x.reached = map[ids.Address]bool{}, map[ids.Address]bool{}
	defer x.endTurn(waitlist.Left)
	if r.waitsForRoom(x) {
		x.outbound.Accepted = func() { x.endTurn(waitlist.Granted) }
		if r.admission.Short(x.service) && !r.awaitTurn(ctx, x) {
			return r.giveUp(ctx, x)
		}
	}
	for {
		to, ok := r.pickGatekeeper(x)
		if !ok || r.turnOver(x) {
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

// sendAttempt sends the request to one target and applies the result. It returns true
// when the answer ends the exchange.
func (r *Router) sendAttempt(ctx context.Context, x *exchange, to registry.Registration) (request.Answer, bool) {
	x.lastTried = to
	x.offers++
	remaining, _ := r.Common.Clock.Remaining(ctx)
	r.loads.CountRequest(to.Address)
	waited := r.Common.Clock.Now().Sub(x.startedAt)
	return r.applyResult(x, to, r.forward.Send(ctx, to, termsOf(x, remaining, waited), x.outbound))
}

// applyResult updates the exchange and the load view from the result of an attempt. It
// returns true when the answer ends the exchange.
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
		r.size.Observe(x.route.ID, x.inbound.Body.Len()+m.Answer.Body.Len())
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

// decisiveTarget returns the target that determined how the request ended.
func (x *exchange) decisiveTarget() registry.Registration {
	if x.failedAt.Address == "" {
		return x.lastTried
	}
	return x.failedAt
}

// mayRetry reports whether the request may go to another target. A request that no
// target received always may. Otherwise attempts must be left, and a request that may
// have run must be idempotent.
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
	return x.failureAnswer == nil || x.breakerOpen || r.retriesLeft(x) >= minRetriesForOwnFailure
}

// retriesLeft returns how many retries the gatekeepers for a request still admit, by
// their last load reports.
func (r *Router) retriesLeft(x *exchange) int {
	now, left := r.Common.Clock.Now(), 0
	for _, reg := range r.serving(x) {
		if reg.Address == r.Common.Mesh.Sockets.AdvertisedAddress() {
			left += r.gate.Load().RetriesLeft
		} else {
			left += r.loads.View(reg.Address, reg.Slots, now).RetriesLeft
		}
	}
	return left
}

// pickGatekeeper returns the best gatekeeper among those that are not skipped, and
// false when there is none.
func (r *Router) pickGatekeeper(x *exchange) (registry.Registration, bool) {
	now := r.Common.Clock.Now()
	registrations := r.serving(x)
	list := make([]balancer.Candidate, len(registrations))
	mayProbe, staysNear := r.mayProbe(x), r.staysNear(x, registrations, now)
	for i, reg := range registrations {
		list[i] = r.candidate(x, reg, now)
		list[i].Tried = list[i].Tried || (staysNear && !list[i].SameCentre)
		list[i].Probe = list[i].Probe && mayProbe
	}
	i := balancer.Pick(list, rand.Float64)
	if i < 0 {
		return registry.Registration{}, false
	}
	return registrations[i], true
}

// mayProbe reports whether the request may be a probe of an open breaker: it must be
// able to go to another target when the probe fails.
func (r *Router) mayProbe(x *exchange) bool {
	return x.route.Idempotent && x.sent == 0 && x.route.Attempts > 1 && r.retriesLeft(x) >= 1
}

// candidate returns what the balancer needs to know about one target.
func (r *Router) candidate(x *exchange, reg registry.Registration, now units.Instant) balancer.Candidate {
	c := balancer.Candidate{
		Local: reg.Address == r.Common.Mesh.Sockets.AdvertisedAddress(), SameCentre: reg.Centre == r.Common.Mesh.Identity.Centre,
		Size: r.size.Estimate(x.route.ID), Slots: reg.Slots, Tried: x.skipped[reg.Address] || x.reached[reg.Address],
		IgnoreBreaker: x.ignoreBreaker,
	}
	if c.Local {
		load := r.gate.Load()
		c.InFlight, c.BreakerOpen, c.WarmUp = float64(load.Running+load.Waiting), load.BreakerOpen, r.gate.WarmUp()
		c.ColdFull = load.WarmUp > 0 && load.ColdRoom <= 0
		c.Slots = min(c.Slots, max(load.Slots, 1))
		c.Probe = load.BreakerOpen && load.ProbeIn == 0
	} else {
		view := r.loads.View(reg.Address, reg.Slots, now)
		c.InFlight, c.BreakerOpen, c.Probe = view.InFlight, view.BreakerOpen, view.Probe
		c.WarmUp, c.ColdFull, c.Slots = view.WarmUp, view.WarmUp > 0 && view.ColdRoom <= 0, view.Slots
		// Gatekeepers of other data centres report only when their breaker opens or closes,
		// so the lack of reports says nothing about them.
		stale := c.SameCentre && view.Stale
		c.Suspected = view.NoTarget || stale || r.reachable.Suspected(reg.Address)
	}
	return c
}

// waitToReoffer sleeps after all gatekeepers declined and lets the request be offered
// to them again. It returns false when no further offer can succeed: a target received
// the request, none serves the service, or open breakers were ignored already.
func (r *Router) waitToReoffer(ctx context.Context, x *exchange) bool {
	if x.sent > 0 || len(r.serving(x)) == 0 || x.ignoreBreaker {
		return false
	}
	if r.waitsForRoom(x) {
		return r.awaitTurn(ctx, x)
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

// allowCentreAgain lets the request be offered again to the gatekeepers of this data
// centre. Those of other data centres get one offer only, since traffic to them is priced.
func (r *Router) allowCentreAgain(x *exchange) {
	for _, reg := range r.serving(x) {
		if reg.Centre == r.Common.Mesh.Identity.Centre {
			delete(x.skipped, reg.Address)
		}
	}
}

// giveUp returns the result of a request that no target answered successfully: the
// last failure answer, or an error that says whether the request may have run.
func (r *Router) giveUp(ctx context.Context, x *exchange) (request.Answer, error) {
	if x.failureAnswer != nil {
		return *x.failureAnswer, nil
	}
	if x.noRoom {
		return request.Answer{}, r.noRoomError(x)
	}
	canceled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case x.lost && canceled:
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusBadGateway, context.Cause(ctx).Error())
	case x.lost && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusGatewayTimeout, "no answer came in time")
	case x.lost:
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusBadGateway, "the target gave no usable answer")
	case canceled:
		return request.Answer{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, context.Cause(ctx).Error()).After(retryAfter)
	}
	return request.Answer{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no target took the request").After(retryAfter)
}
