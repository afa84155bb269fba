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

// learn takes over what the end of a request says of the target. The caller holds the
// lock.
func (g *Gate) learn(ctx context.Context, s *Slot, id ids.Call, took time.Duration, o outcome.Outcome) {
	now := g.Common.Clock.Now()
	before := g.breaker.Open()
	switch o := o.(type) {
	case outcome.Answered:
		if o.Failure {
			g.learnFailure(s, now, took)
			break
		}
		g.breaker.Record(now, breaker.Served)
		g.learnTime(took)
	case outcome.Unrun:
		g.untry(s)
		if o.Misdirected {
			g.target.State = registry.Deregistered
			g.flush(link.ReasonNoTarget)
		}
	case outcome.Broken:
		if ctx.Err() != nil && took < g.silence() {
			// The sender gave up early, which tells nothing of the target.
			g.untry(s)
			break
		}
		g.breaker.Record(now, breaker.Broken)
	}
	if open := g.breaker.Open(); open != before {
		g.sayBreaker(open, id, o)
		if open {
			g.flush(link.ReasonBreakerOpen)
		}
	}
}

// learnFailure counts a failed answer, unless an inner request failed meanwhile, which
// explains it.
func (g *Gate) learnFailure(s *Slot, now units.Instant, took time.Duration) {
	if g.innerFailed > 0 && now.Sub(g.innerFailed) <= took {
		g.untry(s)
		return
	}
	g.breaker.Record(now, breaker.Failed)
}

// RecordNestedFailure notes that a request which the target made got no good answer.
func (g *Gate) RecordNestedFailure(now units.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.innerFailed = now
}

// silence returns after how long a request without an answer counts against the target.
func (g *Gate) silence() time.Duration {
	return max(silenceFactor*g.usual(), shortestSilence)
}

func (g *Gate) learnTime(took time.Duration) {
	if g.typical == 0 {
		g.typical = took
		return
	}
	g.typical += time.Duration(typicalWeight * float64(took-g.typical))
}

func (g *Gate) sayBreaker(open bool, id ids.Call, o outcome.Outcome) {
	e, detail := event.BreakerClosed, ""
	if open {
		e = event.BreakerOpened
		if broken, ok := o.(outcome.Broken); ok {
			detail = broken.Detail
		}
	}
	g.Common.Info(e, zap.String("id", string(id)), zap.String("target", string(g.target.Target)), zap.String("detail", detail))
}
