package ejector

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/detector"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/probation"
	"balsamwharf.example/balsamwharf/internal/recent"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// baselinePeriod is how often siblings are asked as a matter of routine.
	baselinePeriod = 10 * time.Second
	// renewPeriod is how often a permit is renewed.
	renewPeriod = time.Second
	// deniedRetryDelay is how long a refused target waits before it asks again.
	deniedRetryDelay = time.Second
	// maxQueried bounds the siblings that are asked at once.
	maxQueried = 5
	// compareTimeout bounds one question to a sibling.
	compareTimeout = 150 * time.Millisecond
	// statisticScale is the unit in which the statistic is shown.
	statisticScale = 100
)

// run looks at all targets in each tick.
func (e *Ejector) run(ctx context.Context) {
	sub := e.Common.Clock.Every(checkPeriod)
	defer sub.Stop()
	for {
		select {
		case <-sub.C:
			e.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// round finds what is due for each target and starts a task for it.
func (e *Ejector) round(ctx context.Context) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	var due []func()
	statistic := 0.0
	for _, p := range e.targets {
		p.recordHangs(now)
		e.logFailedProbe(p)
		statistic = max(statistic, p.detector.Statistic())
		if step := e.due(ctx, now, p); step != nil {
			due = append(due, step)
		}
	}
	e.mu.Unlock()
	metric.Suspicion.Gauge(e.Common.Metrics).Update(int64(statistic * statisticScale))
	for _, step := range due {
		go step()
	}
}

// logFailedProbe logs a trial that failed. The lock is held.
func (e *Ejector) logFailedProbe(p *state) {
	if !p.probeFailed {
		return
	}
	p.probeFailed = false
	e.Common.Info(event.TrialFailed, append(targetFields(p.target), zap.Duration("out", p.probation.EjectionTime()))...)
}

// due returns the next step for a target, or nil. The step clears busy.
func (e *Ejector) due(ctx context.Context, now units.Instant, p *state) func() {
	stage := p.stage(now)
	if p.permitExpired {
		p.permitExpired = false
		p.permitExpires = 0
		return func() { e.permitExpired(p) }
	}
	if p.busy {
		return nil
	}
	step := e.nextStep(ctx, now, p, stage)
	if step == nil {
		return nil
	}
	p.busy = true
	return func() {
		step()
		e.mu.Lock()
		p.busy = false
		e.mu.Unlock()
	}
}

func (e *Ejector) nextStep(ctx context.Context, now units.Instant, p *state, stage probation.Stage) func() {
	switch stage {
	case probation.InService:
		return e.nextInService(ctx, now, p)
	case probation.Ejected, probation.HalfOpen:
		if now.Sub(p.renewedAt) >= renewPeriod {
			return func() { e.renewPermit(ctx, p) }
		}
		if p.probation.CheckDue(now) {
			return func() { e.healthCheck(ctx, p) }
		}
	}
	return nil
}

func (e *Ejector) nextInService(ctx context.Context, now units.Instant, p *state) func() {
	if p.permitExpires != 0 {
		return func() { e.readmitted(ctx, p) }
	}
	if p.deniedAt != 0 && now.Sub(p.deniedAt) < deniedRetryDelay {
		return nil
	}
	if q, ok := p.detector.Suspicion(now); ok {
		return func() { e.evaluate(ctx, p, q) }
	}
	if p.baselineAt == 0 || now.Sub(p.baselineAt) >= baselinePeriod {
		p.baselineAt = now
		return func() { e.refreshBaseline(ctx, p) }
	}
	return nil
}

// refreshBaseline asks a few siblings how they usually fare.
func (e *Ejector) refreshBaseline(ctx context.Context, p *state) {
	answers := e.querySiblings(ctx, p.target, e.fixedSiblings(p.target), message.Compare{Service: p.target.Service, Window: recent.Span})
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p.detector.UpdateBaseline(now, answers)
	if !p.detector.Baseline().Timed {
		p.baselineAt = now.Add(time.Second - baselinePeriod)
	}
}

// evaluate puts a suspicion to the siblings and ejects the target when it fails.
func (e *Ejector) evaluate(ctx context.Context, p *state, q detector.Suspicion) {
	answers := e.querySiblings(ctx, p.target, e.randomSiblings(p.target), message.Compare{Service: p.target.Service, Route: q.Route, Window: q.Window})
	e.mu.Lock()
	finding := p.detector.Evaluate(e.Common.Clock.Now(), q, answers)
	e.mu.Unlock()
	switch f := finding.(type) {
	case detector.Failing:
		e.eject(ctx, p, f)
	case detector.Healthy, detector.Inconclusive:
	}
}

// querySiblings compares with the targets of this VM and of other daemons.
func (e *Ejector) querySiblings(ctx context.Context, t Target, daemons []ids.Daemon, m message.Compare) []sibling.Summary {
	answers := e.summaries(m, t.ID)
	ctx, cancel := e.Common.Clock.Within(ctx, compareTimeout)
	defer cancel()
	replies := make(chan []sibling.Summary, len(daemons))
	for _, d := range daemons {
		go func() { replies <- e.querySibling(ctx, d, m) }()
	}
	for range daemons {
		answers = append(answers, <-replies...)
	}
	return answers
}

func (e *Ejector) querySibling(ctx context.Context, to ids.Daemon, m message.Compare) []sibling.Summary {
	reply, err := e.peers.Call(ctx, to, m)
	if err != nil {
		return nil
	}
	if s, ok := reply.(message.Summary); ok {
		return s.Targets
	}
	return nil
}

// randomSiblings picks daemons for a suspicion, each time others.
func (e *Ejector) randomSiblings(t Target) []ids.Daemon {
	all := e.siblings(t)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxQueried, len(all))]
}

// fixedSiblings picks the same daemons each time, and those to which this one lets
// requests through most, so that the routine needs no connections of its own.
func (e *Ejector) fixedSiblings(t Target) []ids.Daemon {
	return rendezvous.Top(string(e.Common.Settings.Identity.Daemon), e.siblings(t), maxQueried)
}

// siblings returns the other daemons with targets of the service in use.
func (e *Ejector) siblings(t Target) []ids.Daemon {
	self := e.Common.Settings.Identity.Daemon
	var all []ids.Daemon
	known := map[ids.Daemon]bool{self: true}
	for _, c := range e.directory.Targets(t.Service) {
		if !known[c.Daemon] {
			known[c.Daemon] = true
			all = append(all, c.Daemon)
		}
	}
	return all
}

// HandleCompare answers a sibling with the outcomes of this VM's targets in use.
func (e *Ejector) HandleCompare(m message.Compare) message.Summary {
	return message.Summary{Targets: e.summaries(m, "")}
}

// summaries skips the target that asks, and those that are out or warming up.
func (e *Ejector) summaries(m message.Compare, not ids.Target) []sibling.Summary {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []sibling.Summary
	for id, p := range e.targets {
		if id == not || p.target.Service != m.Service || p.warmingUp(now) || p.stage(now) != probation.InService {
			continue
		}
		list = append(list, p.detector.Summary(now, m.Route, m.Window))
	}
	return list
}

// publishEjected tells the fleet which targets are out.
func (e *Ejector) publishEjected() { e.gossip.Update(func(m *member.Member) { e.MarkEjected(m) }) }
