package ejector

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/backend"
	"balsamwharf.example/balsamwharf/internal/detector"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/probation"
)

// healthCheckTimeout bounds one probe.
const healthCheckTimeout = time.Second

func (p *state) claim() permit.Claim {
	return permit.Claim{Service: p.target.Service, Target: p.target.ID, Slots: p.target.Slots, Badness: p.finding.Badness()}
}

// eject takes a failing target out of use if the steward permits it.
func (e *Ejector) eject(ctx context.Context, p *state, f detector.Failing) {
	e.mu.Lock()
	p.finding = f
	claim := p.claim()
	e.mu.Unlock()
	switch a := e.permits.Acquire(ctx, claim).(type) {
	case permit.Held:
		e.applyEjection(p, a)
	case permit.Denied:
		e.Common.Warn(event.FloorReached, append(findingFields(p.target, f), zap.String("refusal", string(a.Reason)))...)
		e.recordDenial(p)
	case permit.Unavailable:
		e.Common.Warn(event.PermitMissing, findingFields(p.target, f)...)
		e.recordDenial(p)
	}
}

func (e *Ejector) applyEjection(p *state, a permit.Held) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	if !now.Before(a.Until) {
		e.mu.Unlock()
		return
	}
	p.permitExpires = a.Until
	p.renewedAt = now
	p.deniedAt = 0
	p.probation.Eject(now)
	f := p.finding
	wait := p.probation.EjectionTime()
	e.mu.Unlock()
	metric.Ejections.Counter(e.Common.Metrics).Inc(1)
	e.Common.Warn(event.TargetEjected, append(findingFields(p.target, f), zap.Duration("probation", wait))...)
	e.publishEjected()
}

func (e *Ejector) recordDenial(p *state) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p.deniedAt = now
}

// renewPermit keeps the permit of a target that is out. A refusal readmits it at once;
// silence lets the lease run out.
func (e *Ejector) renewPermit(ctx context.Context, p *state) {
	e.mu.Lock()
	p.renewedAt = e.Common.Clock.Now()
	claim := p.claim()
	e.mu.Unlock()
	answer := e.permits.Acquire(ctx, claim)
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch a := answer.(type) {
	case permit.Held:
		if p.stage(now) != probation.InService {
			p.permitExpires = a.Until
		}
	case permit.Denied:
		p.permitExpires = now
	case permit.Unavailable:
	}
}

// healthCheck tries a target whose time out is over.
func (e *Ejector) healthCheck(ctx context.Context, p *state) {
	err := e.sendHealthCheck(ctx, p.target.Address)
	now := e.Common.Clock.Now()
	e.mu.Lock()
	if err != nil {
		p.probation.Eject(now)
		e.mu.Unlock()
		return
	}
	p.probation.BeginProbing(now)
	e.mu.Unlock()
	e.Common.Info(event.TargetOnTrial, targetFields(p.target)...)
	e.publishEjected()
}

// sendHealthCheck asks a target for any answer at all. Whether it serves well is for the
// trial to find out.
func (e *Ejector) sendHealthCheck(ctx context.Context, addr ids.Address) error {
	ctx, cancel := e.Common.Clock.Within(ctx, healthCheckTimeout)
	defer cancel()
	opened, err := e.dial(ctx, addr)
	if err != nil {
		return err
	}
	conn := backend.New(opened)
	defer conn.Close()
	req := &http.Request{Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: string(addr), Path: "*"}, Host: string(addr), Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
	resp, _, err := conn.Exchange(ctx, req.WithContext(ctx))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// readmitted ends the ejection of a target that passed its trial.
func (e *Ejector) readmitted(ctx context.Context, p *state) {
	e.mu.Lock()
	claim := p.claim()
	p.permitExpires = 0
	e.mu.Unlock()
	metric.Readmissions.Counter(e.Common.Metrics).Inc(1)
	e.Common.Info(event.TargetReadmitted, append(targetFields(p.target), zap.String("why", "trial"))...)
	e.publishEjected()
	e.permits.Release(ctx, claim)
}

// permitExpired tells of a target that came back because its permit ran out.
func (e *Ejector) permitExpired(p *state) {
	metric.Readmissions.Counter(e.Common.Metrics).Inc(1)
	e.Common.Warn(event.TargetReadmitted, append(targetFields(p.target), zap.String("why", "permit"))...)
	e.publishEjected()
}

func targetFields(t Target) []zap.Field {
	return []zap.Field{zap.String("target", string(t.ID)), zap.String("service", string(t.Service))}
}

// findingFields are the numbers that decided.
func findingFields(t Target, f detector.Failing) []zap.Field {
	return append(targetFields(t),
		zap.String("reason", string(f.Suspicion.Reason)),
		zap.String("route", string(f.Suspicion.Route)),
		zap.Float64("statistic", f.Statistic),
		zap.Int("good", f.Own.Good),
		zap.Int("bad", f.Own.Bad),
		zap.Float64("siblings", f.Siblings.BadShare),
		zap.Duration("latency", latency(f.Own.Timed > 0, f.Own.MeanLog())),
		zap.Duration("usual", latency(f.Siblings.Timed, f.Siblings.MeanLog)),
	)
}

// latency turns the mean logarithm of a latency into a duration, zero when there
// is none.
func latency(known bool, log float64) time.Duration {
	if !known {
		return 0
	}
	return time.Duration(math.Exp(log) * float64(time.Second))
}
