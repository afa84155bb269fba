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
	"balsamwharf.example/balsamwharf/internal/mesh/choice"
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
	// regroup is the pause before gatekeepers that declined are asked again: about
	// the pause between two trials of a breaker.
	regroup = 60 * time.Millisecond
	// patienceShare is the part of the objective during which a request waits for a
	// target that takes it; afterwards it insists or comes back later.
	patienceShare = 0.35
	// spareRepeats is how many repeats must be left to spend one on a failure that is
	// probably the request's own: most of these fail again at another target.
	spareRepeats = 3
	// assumedAim stands in for a route without an objective.
	assumedAim = time.Second
)

// journey is one request on its way.
type journey struct {
	arrival request.Inbound
	began   units.Instant
	version ids.Version
	route   policy.Route
	account policy.Account
	quota   quota.Decision
	service ids.Service
	order   request.Outbound
	// parentRepeat is how likely a repeat made this request.
	parentRepeat float64

	// sent counts the targets that may have got the request, and ran those that may have
	// run it.
	sent, ran int
	// passed holds the gatekeepers that are not asked again for now.
	passed map[ids.Address]bool
	// used holds those whose target got the request.
	used map[ids.Address]bool
	// target is the one that was asked last, and blamed the last one at which the request
	// was lost or failed.
	target, blamed registry.Registration
	// failure is the last answer that told of a failure of a target.
	failure *request.Answer
	// suspect is set when other requests failed there too.
	suspect bool
	// lost is set when an attempt may have run without an answer.
	lost   bool
	insist bool
}

// timeout returns how long the caller may be kept waiting.
func (j *journey) timeout() time.Duration {
	t := j.arrival.Timeout
	if j.route.Timeout > 0 && (t <= 0 || j.route.Timeout < t) {
		t = j.route.Timeout
	}
	if t <= 0 {
		return defaultTimeout
	}
	return t
}

func (j *journey) aim() time.Duration {
	if j.route.Objective > 0 {
		return j.route.Objective
	}
	return assumedAim
}

// attempts tries targets until one answers or the request has to be given up.
func (r *Router) attempts(ctx context.Context, j *journey) (request.Answer, error) {
	j.passed, j.used = map[ids.Address]bool{}, map[ids.Address]bool{}
	for {
		to, ok := r.choose(j)
		if !ok {
			if !r.regroup(ctx, j) {
				return r.giveUp(ctx, j)
			}
			continue
		}
		answer, done := r.attempt(ctx, j, to)
		if done {
			return answer, nil
		}
		if ctx.Err() != nil || !r.mayRepeat(j) {
			return r.giveUp(ctx, j)
		}
	}
}

// attempt sends the request to one target and learns from the result.
func (r *Router) attempt(ctx context.Context, j *journey, to registry.Registration) (request.Answer, bool) {
	j.target = to
	left, _ := r.Common.Clock.Left(ctx)
	r.sight.Begin(to.Address)
	waited := r.Common.Clock.Now().Sub(j.began)
	return r.learn(j, to, r.forward.To(ctx, to, termsOf(j, left, waited), j.order))
}

// learn notes what the result says of the target and of the request.
func (r *Router) learn(j *journey, to registry.Registration, result forward.Result) (request.Answer, bool) {
	now := r.Common.Clock.Now()
	j.passed[to.Address] = true
	switch m := result.(type) {
	case forward.Answered:
		r.sight.Note(to.Address, m.Load, now)
		j.use(to)
		j.ran++
		if m.Failure {
			j.failure, j.suspect, j.blamed = &m.Answer, m.Load.BreakerOpen, to
			r.sayAttempt(j, "failed", http.StatusText(m.Answer.Status))
			return request.Answer{}, false
		}
		j.blamed = registry.Registration{}
		r.counts.attempt("answered")
		r.size.Observe(j.route.ID, units.Bytes(len(j.arrival.Body)+len(m.Answer.Body)))
		return m.Answer, true
	case forward.Declined:
		r.sight.Note(to.Address, m.Load, now)
		if m.Reason == link.ReasonNoTarget || m.Reason == link.ReasonLeaving {
			r.sight.Gone(to.Address, now)
		}
		r.sayAttempt(j, "declined", string(m.Reason))
	case forward.Unrun:
		if m.Arrived {
			j.use(to)
		}
		r.sayAttempt(j, "unrun", m.Detail)
	case forward.Lost:
		j.use(to)
		j.ran++
		j.lost, j.blamed = true, to
		r.sayAttempt(j, "lost", m.Detail)
	}
	return request.Answer{}, false
}

func (j *journey) use(to registry.Registration) {
	j.sent++
	j.used[to.Address] = true
}

func (r *Router) sayAttempt(j *journey, how, detail string) {
	r.counts.attempt(how)
	r.Common.Info(event.AttemptFailed,
		zap.String("id", string(j.arrival.ID)), zap.String("daemon", string(j.target.Daemon)),
		zap.String("target", string(j.target.Target)), zap.String("how", how), zap.String("detail", detail),
		zap.Int("sent", j.sent), zap.Duration("after", r.Common.Clock.Now().Sub(j.began)))
}

// decisive returns the target whose doing the end of the request was.
func (j *journey) decisive() registry.Registration {
	if j.blamed.Address == "" {
		return j.target
	}
	return j.blamed
}

// mayRepeat reports whether the request may go to another target. One that no target
// has seen may always; another one only if it is idempotent or was turned away.
func (r *Router) mayRepeat(j *journey) bool {
	if j.sent == 0 {
		return true
	}
	if (j.lost || j.failure != nil) && !j.route.Idempotent {
		return false
	}
	if j.sent >= max(j.route.Attempts, 1) {
		return false
	}
	return j.failure == nil || j.suspect || r.repeatsLeft(j.service) >= spareRepeats
}

// repeatsLeft returns how many repeats the gatekeepers of a service let through, as far as
// is known.
func (r *Router) repeatsLeft(s ids.Service) int {
	now, left := r.Common.Clock.Now(), 0
	for _, rec := range r.roll.Serving(s) {
		if rec.Address == r.Common.Mesh.Sockets.Known() {
			left += r.gate.Load().Repeats
		} else {
			left += r.sight.View(rec.Address, rec.Slots, now).Repeats
		}
	}
	return left
}

// choose picks a gatekeeper that was not asked yet.
func (r *Router) choose(j *journey) (registry.Registration, bool) {
	now := r.Common.Clock.Now()
	records := r.roll.Serving(j.service)
	list := make([]choice.Candidate, len(records))
	mayTry := r.mayTry(j)
	for i, rec := range records {
		list[i] = r.candidate(j, rec, now)
		list[i].Trial = list[i].Trial && mayTry
	}
	i := choice.Pick(list, rand.Float64)
	if i < 0 {
		return registry.Registration{}, false
	}
	return records[i], true
}

// mayTry reports whether the request may be a trial: it must be able to go to another
// target afterwards.
func (r *Router) mayTry(j *journey) bool {
	return j.route.Idempotent && j.sent == 0 && j.route.Attempts > 1 && r.repeatsLeft(j.service) >= 1
}

// candidate gathers what is known of one target.
func (r *Router) candidate(j *journey, rec registry.Registration, now units.Instant) choice.Candidate {
	c := choice.Candidate{
		Local: rec.Address == r.Common.Mesh.Sockets.Known(), Near: rec.Centre == r.Common.Mesh.Identity.Centre,
		Size: r.size.Estimate(j.route.ID), Slots: rec.Slots, Tried: j.passed[rec.Address] || j.used[rec.Address],
		Insist: j.insist,
	}
	if c.Local {
		load := r.gate.Load()
		c.Busy, c.Shut, c.Cold = float64(load.Running+load.Waiting), load.BreakerOpen, r.gate.Cold()
		c.Trial = load.BreakerOpen && load.ProbeIn == 0
	} else {
		view := r.sight.View(rec.Address, rec.Slots, now)
		c.Busy, c.Shut, c.Trial = view.Busy, view.Shut, view.Trial
		// Others tell only that their breaker opens or closes, and are silent in between.
		silent := c.Near && view.Silent
		c.Doubt = view.Gone || silent || r.reachable.Suspected(rec.Address)
	}
	return c
}

// regroup waits a moment after all gatekeepers declined and lets the request ask them
// again; it is false when there is no use in that.
func (r *Router) regroup(ctx context.Context, j *journey) bool {
	if j.sent > 0 || len(r.roll.Serving(j.service)) == 0 || j.insist {
		return false
	}
	waited := r.Common.Clock.Now().Sub(j.began)
	if waited > time.Duration(patienceShare*float64(j.aim())) {
		j.insist = true
		j.passed = map[ids.Address]bool{}
		return true
	}
	r.askNearAgain(j)
	return r.Common.Clock.Sleep(ctx, regroup) == nil
}

// askNearAgain lets the request ask the gatekeepers of its own data centre once more.
// Others were asked once; every offer to them is priced.
func (r *Router) askNearAgain(j *journey) {
	for _, rec := range r.roll.Serving(j.service) {
		if rec.Centre == r.Common.Mesh.Identity.Centre {
			delete(j.passed, rec.Address)
		}
	}
}

// giveUp returns the answer of a request that no target answered well.
func (r *Router) giveUp(ctx context.Context, j *journey) (request.Answer, error) {
	if j.failure != nil {
		return *j.failure, nil
	}
	left := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case j.lost && left:
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusBadGateway, context.Cause(ctx).Error())
	case j.lost && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusGatewayTimeout, "no answer came in time")
	case j.lost:
		return request.Answer{}, verdict.New(verdict.Maybe, http.StatusBadGateway, "the target gave no usable answer")
	case left:
		return request.Answer{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, context.Cause(ctx).Error()).After(comeBack)
	}
	return request.Answer{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no target took the request").After(comeBack)
}
