package gate

import (
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// takeBackTime is the time in which a target of an evacuated data centre gets its slots back one
	// after the other, so that the load of the fleet does not rush there.
	takeBackTime = 4 * time.Second
	// probeTimeout bounds one question whether the target is warm.
	probeTimeout = 500 * time.Millisecond
)

// service returns how the configuration treats the target's service. The caller holds the lock.
func (g *Gate) service() policy.Service {
	p, ok := g.config.Policy()
	if !ok {
		return policy.Service{}
	}
	return p.Service(g.target.Service)
}

// updateWarmth applies the limit for cold targets that the configuration in force has. The caller
// holds the lock.
func (g *Gate) updateWarmth(now units.Instant) { g.warmth.SetRate(g.service().ColdRate, now) }

// admitCold reports whether a target that may be cold bears one more request, and counts it. The caller
// holds the lock.
func (g *Gate) admitCold(now units.Instant) bool {
	g.updateWarmth(now)
	g.probeWarmth(now)
	if g.warmth.Admit(now) {
		return true
	}
	metric.ColdDeclined.Counter(g.Common.Metrics).Inc(1)
	return false
}

// learnWarmth records what an announcement says of the warm-up. The caller holds the lock.
func (g *Gate) learnWarmth(before, a Announcement) {
	now := g.Common.Clock.Now()
	g.warmUntil = now.Add(a.WarmUp)
	g.updateWarmth(now)
	wasCold := g.warmth.Cold(now) > 0
	if before.Start() != a.Start() {
		g.warmth.Doubt()
	}
	g.warmth.Learn(a.WarmUp, now)
	if remaining := g.warmth.Cold(now); remaining > 0 && !wasCold {
		g.logCold(remaining)
	}
	g.probeWarmth(now)
}

// probeWarmth asks the target in the background whether it is warm, if that is due. The caller holds
// the lock.
func (g *Gate) probeWarmth(now units.Instant) {
	if g.probing || !g.warmth.ProbeDue(now) {
		return
	}
	path := g.service().HealthPath
	if path == "" {
		return
	}
	g.probing = true
	start := g.target.Start()
	go func() {
		ctx, cancel := g.Common.Clock.WithTimeout(g.ctx, probeTimeout)
		defer cancel()
		answer, err := g.client.Check(ctx, path)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.probing = false
		if err != nil || answer.Target != g.target.Target || start != g.target.Start() {
			return
		}
		g.warmth.Prove(answer.WarmUp, now, g.Common.Clock.Now())
		if answer.WarmUp > 0 {
			g.logCold(answer.WarmUp)
		}
	}()
}

// logCold logs that the target is cold. The caller holds the lock.
func (g *Gate) logCold(remaining time.Duration) {
	g.Common.Info(event.TargetCold, zap.String("target", string(g.target.Target)), zap.Duration("remaining", remaining))
}

// evacuationChanged is called when a data centre was evacuated or taken back, possibly by several tasks
// at once. It goes by what is known when it has the lock.
func (g *Gate) evacuationChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	evacuated := g.evacuation.Evacuated(g.Common.Mesh.Identity.Centre)
	if evacuated == g.evacuated {
		return
	}
	g.evacuated = evacuated
	if evacuated {
		g.declineWaiting(link.ReasonEvacuated)
		return
	}
	// Zero stands for a data centre that was not taken back.
	g.takenBackAt = max(g.Common.Clock.Now(), 1)
	g.warmth.Doubt()
}

// openSlots returns how many slots may be used now: all of them, or a growing number after the data
// centre was taken back. The caller holds the lock.
func (g *Gate) openSlots(now units.Instant) units.Slots {
	if g.takenBackAt == 0 {
		return g.slots
	}
	since := now.Sub(g.takenBackAt)
	if since >= takeBackTime {
		g.takenBackAt = 0
		return g.slots
	}
	return max(units.Slots(float64(g.slots)*float64(since)/float64(takeBackTime)), 1)
}
