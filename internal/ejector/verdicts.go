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

// probeTimeout bounds one probe.
const probeTimeout = time.Second

func (p *evidence) claim() permit.Claim {
	return permit.Claim{Service: p.target.Service, Target: p.target.ID, Slots: p.target.Slots, Badness: p.finding.Badness()}
}

// eject takes a failing target out of use if the steward permits it.
func (e *Ejector) eject(ctx context.Context, p *evidence, f detector.Failing) {
	e.mu.Lock()
	p.finding = f
	claim := p.claim()
	e.mu.Unlock()
	switch a := e.permits.Ask(ctx, claim).(type) {
	case permit.Held:
		e.out(p, a)
	case permit.Denied:
		e.Common.Warn(event.FloorReached, append(fields(p.target, f), zap.String("refusal", string(a.Reason)))...)
		e.deny(p)
	case permit.Silent:
		e.Common.Warn(event.PermitMissing, fields(p.target, f)...)
		e.deny(p)
	}
}

func (e *Ejector) out(p *evidence, a permit.Held) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	if !now.Before(a.Until) {
		e.mu.Unlock()
		return
	}
	p.until = a.Until
	p.renewed = now
	p.denied = 0
	p.probation.Eject(now)
	f := p.finding
	wait := p.probation.Wait()
	e.mu.Unlock()
	metric.Ejections.Counter(e.Common.Metrics).Inc(1)
	e.Common.Warn(event.TargetEjected, append(fields(p.target, f), zap.Duration("probation", wait))...)
	e.mark()
}

func (e *Ejector) deny(p *evidence) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p.denied = now
}

// renew keeps the permit of a target that is out. A refusal readmits it at once;
// silence lets the lease run out.
func (e *Ejector) renew(ctx context.Context, p *evidence) {
	e.mu.Lock()
	p.renewed = e.Common.Clock.Now()
	claim := p.claim()
	e.mu.Unlock()
	answer := e.permits.Ask(ctx, claim)
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch a := answer.(type) {
	case permit.Held:
		if p.stage(now) != probation.In {
			p.until = a.Until
		}
	case permit.Denied:
		p.until = now
	case permit.Silent:
	}
}

// probe tries a target whose time out is over.
func (e *Ejector) probe(ctx context.Context, p *evidence) {
	err := e.contact(ctx, p.target.Address)
	now := e.Common.Clock.Now()
	e.mu.Lock()
	if err != nil {
		p.probation.Eject(now)
		e.mu.Unlock()
		return
	}
	p.probation.Try(now)
	e.mu.Unlock()
	e.Common.Info(event.TargetOnTrial, about(p.target)...)
	e.mark()
}

// contact asks a target for any answer at all. Whether it serves well is for the
// trial to find out.
func (e *Ejector) contact(ctx context.Context, addr ids.Address) error {
	ctx, cancel := e.Common.Clock.Within(ctx, probeTimeout)
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
func (e *Ejector) readmitted(ctx context.Context, p *evidence) {
	e.mu.Lock()
	claim := p.claim()
	p.until = 0
	e.mu.Unlock()
	metric.Readmissions.Counter(e.Common.Metrics).Inc(1)
	e.Common.Info(event.TargetReadmitted, append(about(p.target), zap.String("why", "trial"))...)
	e.mark()
	e.permits.Release(ctx, claim)
}

// lapsed tells of a target that came back because its permit ran out.
func (e *Ejector) lapsed(p *evidence) {
	metric.Readmissions.Counter(e.Common.Metrics).Inc(1)
	e.Common.Warn(event.TargetReadmitted, append(about(p.target), zap.String("why", "permit"))...)
	e.mark()
}

func about(t Target) []zap.Field {
	return []zap.Field{zap.String("target", string(t.ID)), zap.String("service", string(t.Service))}
}

// fields are the numbers that decided.
func fields(t Target, f detector.Failing) []zap.Field {
	return append(about(t),
		zap.String("reason", string(f.Question.Reason)),
		zap.String("route", string(f.Question.Route)),
		zap.Float64("statistic", f.Statistic),
		zap.Int("good", f.Own.Good),
		zap.Int("bad", f.Own.Bad),
		zap.Float64("siblings", f.Siblings.Share),
		zap.Duration("latency", typical(f.Own.Timed > 0, f.Own.Log())),
		zap.Duration("usual", typical(f.Siblings.Timed, f.Siblings.Log)),
	)
}

// typical turns the mean logarithm of a latency into a duration, zero when there
// is none.
func typical(known bool, log float64) time.Duration {
	if !known {
		return 0
	}
	return time.Duration(math.Exp(log) * float64(time.Second))
}
