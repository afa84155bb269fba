package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/mesh/admission"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/waitlist"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// patience is for how long a request waits for room, as a multiple of its objective: who is told
	// early can turn to something else.
	patience = 1.2
	// servingShare is the part of the objective that is left to the target when waiting ends at the
	// deadline.
	servingShare = 0.6
	// longBody is from what length on a body stays in its data centre for nearShare of the objective.
	longBody  units.Bytes = 16 << 10
	nearShare             = 0.5
	// maxOffers is to how many gatekeepers a request is offered in one turn, the cheapest ones by what
	// is known. When these have no room, the others hardly have.
	maxOffers = 8
)

// waitsForRoom reports whether the request waits in turn for room in its service. Nested requests
// don't: the request that made them holds a slot meanwhile.
func (r *Router) waitsForRoom(x *exchange) bool {
	return !x.route.Public && r.admission.Enabled()
}

// awaitTurn blocks until the request may be offered to the gatekeepers, again if it was before. It
// returns false if there is no room in time.
func (r *Router) awaitTurn(ctx context.Context, x *exchange) bool {
	var err error
	if x.entry == nil {
		x.entry = &waitlist.Entry{
			Account: x.account.ID, Rank: rankOf(x.route, x.account), Since: x.startedAt, Latest: r.latestStart(ctx, x),
		}
		x.turn, err = r.admission.Wait(ctx, x.service, x.entry)
	} else {
		x.turn.End(waitlist.Declined)
		x.turn, err = r.admission.WaitAgain(ctx, x.service, x.entry)
	}
	clear(x.skipped)
	x.offers = 0
	x.noRoom = errors.Is(err, admission.ErrTooLate)
	if x.noRoom && x.route.Idempotent && r.onlyBreakers(x) {
		// The last chance is a target that may have recovered.
		x.noRoom, x.ignoreBreaker = false, true
		return true
	}
	return err == nil
}

// staysNear reports whether the request waits for a target of its own data centre before its body is
// sent to another one: a long body takes the caller's link for long, and traffic between data centres is
// priced by volume.
func (r *Router) staysNear(x *exchange, list []registry.Registration, now units.Instant) bool {
	if !r.waitsForRoom(x) || x.inbound.Body.Len() < longBody || now.Sub(x.startedAt) >= time.Duration(nearShare*float64(x.objective())) {
		return false
	}
	return slices.ContainsFunc(list, func(reg registry.Registration) bool { return reg.Centre == r.Common.Mesh.Identity.Centre })
}

// onlyBreakers reports whether the breakers of all gatekeepers to which the request may go are open, as
// far as is known.
func (r *Router) onlyBreakers(x *exchange) bool {
	now := r.Common.Clock.Now()
	for _, reg := range r.serving(x) {
		if !r.candidate(x, reg, now).BreakerOpen {
			return false
		}
	}
	return true
}

// turnOver reports whether the request has been offered to as many gatekeepers as one turn allows.
func (r *Router) turnOver(x *exchange) bool {
	return r.waitsForRoom(x) && x.sent == 0 && !x.ignoreBreaker && x.offers >= maxOffers
}

// latestStart returns until when waiting for room is of use.
func (r *Router) latestStart(ctx context.Context, x *exchange) units.Instant {
	now := r.Common.Clock.Now()
	latest := x.startedAt.Add(time.Duration(patience * float64(x.objective())))
	if remaining, ok := r.Common.Clock.Remaining(ctx); ok {
		latest = min(latest, now.Add(remaining-time.Duration(servingShare*float64(x.objective()))))
	}
	return latest
}

// endTurn ends the request's turn, if it has one.
func (x *exchange) endTurn(result waitlist.Result) {
	if x.turn != nil {
		x.turn.End(result)
	}
}

// noRoomError returns the refusal of a request for which there is no room in time.
func (r *Router) noRoomError(x *exchange) error {
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "there is no room in the service in time").
		After(r.admission.RetryAfter(x.service, x.account.ID, rankOf(x.route, x.account)))
}
