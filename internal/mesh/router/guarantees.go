package router

import (
	"errors"
	"slices"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// assertGuarantees checks at the end of a request that it ran at most once unless it is
// idempotent, that it was not sent to too many targets, and that "not run" is true.
func (r *Router) assertGuarantees(x *exchange, err error) {
	id := zap.String("id", string(x.inbound.ID))
	check := r.Common.Invariant.Check
	check(x.route.Idempotent || x.ran <= 1, "a request that must not run twice may have run twice", id)
	check(x.sent <= max(x.route.Attempts, 1), "a request was sent to more targets than its route allows", id)
	var e *verdict.Error
	if errors.As(err, &e) && e.Verdict == verdict.Unrun {
		check(x.ran == 0, "a request was refused as not run and may have run", id)
	}
}

// assertVersionOrder checks that no request is handled by an older configuration than an
// earlier request was.
func (r *Router) assertVersionOrder(p *policy.Policy) {
	for {
		newest := r.newestVersion.Load()
		if uint64(p.Version) >= newest {
			if r.newestVersion.CompareAndSwap(newest, uint64(p.Version)) {
				return
			}
			continue
		}
		r.Common.Invariant.Check(r.config.Version() > p.Version, "the configuration went back to an older one")
		return
	}
}

// assertKeyRemoved checks that the caller's key is in no header sent to the target.
func (r *Router) assertKeyRemoved(x *exchange) {
	if x.inbound.Key == "" {
		return
	}
	for name, values := range x.outbound.Header {
		r.Common.Invariant.Check(!slices.Contains(values, x.inbound.Key), "a key is passed on to a target",
			zap.String("id", string(x.inbound.ID)), zap.String("header", name))
	}
}
