package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/breaker"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/units"
)

// recordOutcome updates the breaker, the latency and the target's state from the end of a
// request. It declines the waiting requests when the breaker opens or the target is gone.
// The caller holds the lock.
func (g *Gate) recordOutcome(ctx context.Context, s *Slot, id ids.Call, took time.Duration, o outcome.Outcome) {
	now := g.Common.Clock.Now()
	before := g.breaker.Open()
	switch o := o.(type) {
	case outcome.Answered:
		if o.Failure {
			g.recordFailure(s, now, took)
			break
		}
		g.breaker.Record(now, breaker.Served)
		g.recordLatency(took)
	case outcome.Unrun:
		g.cancelProbe(s)
		if o.Misdirected {
			g.starts.End(g.target.Start())
			g.target.State = registry.Deregistered
			g.declineWaiting(link.ReasonNoTarget)
		}
	case outcome.Broken:
		if ctx.Err() != nil && took < g.stallTimeout() {
			// The sender gave up early, which says nothing about the target.
			g.cancelProbe(s)
			break
		}
		g.breaker.Record(now, breaker.Broken)
	}
	if open := g.breaker.Open(); open != before {
		g.logBreaker(open, id, o)
		if open {
			g.declineWaiting(link.ReasonBreakerOpen)
		}
	}
}

// recordFailure counts a failed answer against the target, unless a nested request failed
// while it ran, which explains the failure.
func (g *Gate) recordFailure(s *Slot, now units.Instant, took time.Duration) {
	if g.nestedFailedAt > 0 && now.Sub(g.nestedFailedAt) <= took {
		g.cancelProbe(s)
		return
	}
	g.breaker.Record(now, breaker.Failed)
}

// RecordNestedFailure records that a request that the target made failed or was refused.
func (g *Gate) RecordNestedFailure(now units.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nestedFailedAt = now
}

// stallTimeout returns how long a request may go without an answer before that counts
// against the target, even if the sender gave up.
func (g *Gate) stallTimeout() time.Duration {
	return max(stallFactor*g.expectedLatency(), minStallTimeout)
}

func (g *Gate) recordLatency(took time.Duration) {
	if g.latency == 0 {
		g.latency = took
		return
	}
	g.latency += time.Duration(latencyWeight * float64(took-g.latency))
}

func (g *Gate) logBreaker(open bool, id ids.Call, o outcome.Outcome) {
	e, detail := event.BreakerClosed, ""
	if open {
		e = event.BreakerOpened
		if broken, ok := o.(outcome.Broken); ok {
			detail = broken.Detail
		}
	}
	g.Common.Info(e, zap.String("id", string(id)), zap.String("target", string(g.target.Target)), zap.String("detail", detail))
}
