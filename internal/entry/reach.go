package entry

import (
	"context"
	"errors"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// recordReach records whether the gatekeeper was reached. Any answer or refusal from it
// shows that it was. Nothing is recorded when the deadline passed after the request was
// sent, since the target may have been slow, or when the caller cancelled the request.
func (e *Entry) recordReach(ctx context.Context, to ids.Daemon, answer *call.Answer, err error, now units.Instant) {
	if to == e.Common.Settings.Identity.Daemon {
		return
	}
	switch {
	case err == nil, answer != nil:
		e.reach.Record(to, true, now)
	case errors.Is(ctx.Err(), context.Canceled):
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && verdict.Of(err) != verdict.Unrun:
	default:
		e.reach.Record(to, false, now)
	}
}

// pickTarget returns the index in list of a target that was not tried yet, or -1. Targets
// of gatekeepers that this daemon can't reach at present are picked only if there is no
// other.
func (e *Entry) pickTarget(id ids.Service, list []directory.Candidate, tried map[ids.Target]bool) int {
	now := e.Common.Clock.Now()
	if !e.reach.NoFailures() {
		excluded := e.excludedTargets(list, tried, now)
		if i := e.balancer.Pick(e.rng, now, id, list, excluded); i >= 0 {
			return i
		}
	}
	return e.balancer.Pick(e.rng, now, id, list, tried)
}

// excludedTargets returns the tried targets and those of gatekeepers to avoid.
func (e *Entry) excludedTargets(list []directory.Candidate, tried map[ids.Target]bool, now units.Instant) map[ids.Target]bool {
	excluded := map[ids.Target]bool{}
	for _, t := range list {
		if tried[t.ID] || e.reach.Avoid(t.Daemon, now) {
			excluded[t.ID] = true
		}
	}
	return excluded
}
