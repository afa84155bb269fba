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
	// baselinePeriod is how often the siblings' baseline is refreshed.
	baselinePeriod = 10 * time.Second
	// renewPeriod is how often a permit is renewed.
	renewPeriod = time.Second
	// deniedRetryDelay is the time after a denied permit until the next suspicion
	// of the target is evaluated.
	deniedRetryDelay = time.Second
	// maxQueried bounds the siblings that are queried at once.
	maxQueried = 5
	// compareTimeout bounds one query to a sibling.
	compareTimeout = 150 * time.Millisecond
	// statisticScale is the factor of the integer gauge of the statistic: it is
	// reported in hundredths.
	statisticScale = 100
)

// run checks all targets once per checkPeriod until ctx ends.
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

// round starts a task for each target with a step that is due.
func (e *Ejector) round(ctx context.Context) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	var due []func()
	statistic := 0.0
	for _, s := range e.targets {
		s.recordHangs(now)
		e.logFailedProbe(s)
		statistic = max(statistic, s.detector.Statistic())
		if step := e.due(ctx, now, s); step != nil {
			due = append(due, step)
		}
	}
	e.mu.Unlock()
	metric.Suspicion.Gauge(e.Common.Metrics).Update(int64(statistic * statisticScale))
	for _, step := range due {
		go step()
	}
}

// logFailedProbe logs a failed probe request once. The caller holds e.mu.
func (e *Ejector) logFailedProbe(s *state) {
	if !s.probeFailed {
		return
	}
	s.probeFailed = false
	e.Common.Info(event.HalfOpenFailed, append(targetFields(s.target), zap.Duration("out", s.probation.EjectionTime()))...)
}

// due returns the next step for a target, or nil. The step clears busy when it has
// run. The caller holds e.mu.
func (e *Ejector) due(ctx context.Context, now units.Instant, s *state) func() {
	stage := s.stage(now)
	if s.permitExpired {
		s.permitExpired = false
		s.permitExpires = 0
		return func() { e.permitExpired(s) }
	}
	if s.busy {
		return nil
	}
	step := e.nextStep(ctx, now, s, stage)
	if step == nil {
		return nil
	}
	s.busy = true
	return func() {
		step()
		e.mu.Lock()
		s.busy = false
		e.mu.Unlock()
	}
}

func (e *Ejector) nextStep(ctx context.Context, now units.Instant, s *state, stage probation.Stage) func() {
	switch stage {
	case probation.InService:
		return e.nextInService(ctx, now, s)
	case probation.Ejected, probation.HalfOpen:
		if now.Sub(s.renewedAt) >= renewPeriod {
			return func() { e.renewPermit(ctx, s) }
		}
		if s.probation.CheckDue(now) {
			return func() { e.healthCheck(ctx, s) }
		}
	}
	return nil
}

func (e *Ejector) nextInService(ctx context.Context, now units.Instant, s *state) func() {
	if s.permitExpires != 0 {
		return func() { e.readmitted(ctx, s) }
	}
	if s.deniedAt != 0 && now.Sub(s.deniedAt) < deniedRetryDelay {
		return nil
	}
	if q, ok := s.detector.Suspicion(now); ok {
		return func() { e.evaluate(ctx, s, q) }
	}
	if s.baselineAt == 0 || now.Sub(s.baselineAt) >= baselinePeriod {
		s.baselineAt = now
		return func() { e.refreshBaseline(ctx, s) }
	}
	return nil
}

// refreshBaseline queries a few siblings and updates the detector's baseline.
func (e *Ejector) refreshBaseline(ctx context.Context, s *state) {
	answers := e.querySiblings(ctx, s.target, e.fixedSiblings(s.target), message.Compare{Service: s.target.Service, Window: recent.Span})
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.detector.UpdateBaseline(now, answers)
	if !s.detector.Baseline().Timed {
		s.baselineAt = now.Add(time.Second - baselinePeriod)
	}
}

// evaluate compares a suspicion with the siblings' outcomes and ejects the target
// when it fails.
func (e *Ejector) evaluate(ctx context.Context, s *state, q detector.Suspicion) {
	answers := e.querySiblings(ctx, s.target, e.randomSiblings(s.target), message.Compare{Service: s.target.Service, Route: q.Route, Window: q.Window})
	e.mu.Lock()
	finding := s.detector.Evaluate(e.Common.Clock.Now(), q, answers)
	e.mu.Unlock()
	switch f := finding.(type) {
	case detector.Failing:
		e.eject(ctx, s, f)
	case detector.Healthy, detector.Inconclusive:
	}
}

// querySiblings returns the summaries of this VM's other targets of the service and
// of those of the daemons. Daemons that don't answer within compareTimeout are left
// out.
func (e *Ejector) querySiblings(ctx context.Context, t Target, daemons []ids.Daemon, m message.Compare) []sibling.Summary {
	answers := e.summaries(m, t.ID)
	ctx, cancel := e.Common.Clock.WithTimeout(ctx, compareTimeout)
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

// randomSiblings draws daemons to compare a suspicion with, each time anew.
func (e *Ejector) randomSiblings(t Target) []ids.Daemon {
	all := e.siblings(t)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(maxQueried, len(all))]
}

// fixedSiblings returns the same daemons each time. They are those to which this
// daemon sends most requests, so that the query needs no connections of its own.
func (e *Ejector) fixedSiblings(t Target) []ids.Daemon {
	return rendezvous.Top(string(e.Common.Settings.Identity.Daemon), e.siblings(t), maxQueried)
}

// siblings returns the other daemons that have targets of the service in use.
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

// HandleCompare answers a sibling's query with the summaries of this VM's targets
// in service.
func (e *Ejector) HandleCompare(m message.Compare) message.Summary {
	return message.Summary{Targets: e.summaries(m, "")}
}

// summaries returns the outcomes of this VM's targets of the service, without the
// target not and those that are ejected, half-open or warming up.
func (e *Ejector) summaries(m message.Compare, not ids.Target) []sibling.Summary {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []sibling.Summary
	for id, s := range e.targets {
		if id == not || s.target.Service != m.Service || s.warmingUp(now) || s.stage(now) != probation.InService {
			continue
		}
		list = append(list, s.detector.Summary(now, m.Route, m.Window))
	}
	return list
}

// publishEjected publishes through gossip which targets are ejected.
func (e *Ejector) publishEjected() { e.gossip.Update(func(m *member.Member) { e.MarkEjected(m) }) }
