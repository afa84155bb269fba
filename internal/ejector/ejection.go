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

// healthCheckTimeout bounds one health check, connecting included.
const healthCheckTimeout = time.Second

func (s *state) claim() permit.Claim {
	return permit.Claim{Service: s.target.Service, Target: s.target.ID, Slots: s.target.Slots, Badness: s.finding.Badness()}
}

// eject ejects a failing target if the steward grants a permit.
func (e *Ejector) eject(ctx context.Context, s *state, f detector.Failing) {
	e.mu.Lock()
	s.finding = f
	claim := s.claim()
	e.mu.Unlock()
	switch a := e.permits.Acquire(ctx, claim).(type) {
	case permit.Held:
		e.applyEjection(s, a)
	case permit.Denied:
		e.Common.Warn(event.FloorReached, append(findingFields(s.target, f), zap.String("refusal", string(a.Reason)))...)
		e.recordDenial(s)
	case permit.Unavailable:
		e.Common.Warn(event.PermitMissing, findingFields(s.target, f)...)
		e.recordDenial(s)
	}
}

func (e *Ejector) applyEjection(s *state, a permit.Held) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	if !now.Before(a.Until) {
		e.mu.Unlock()
		return
	}
	s.permitExpires = a.Until
	s.renewedAt = now
	s.deniedAt = 0
	s.probation.Eject(now)
	f := s.finding
	wait := s.probation.EjectionTime()
	e.mu.Unlock()
	metric.Ejections.Counter(e.Common.Metrics).Inc(1)
	e.Common.Warn(event.TargetEjected, append(findingFields(s.target, f), zap.Duration("probation", wait))...)
	e.publishEjected()
}

func (e *Ejector) recordDenial(s *state) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.deniedAt = now
}

// renewPermit renews the permit of an ejected target. A denial readmits the target
// at once; without an answer the permit expires.
func (e *Ejector) renewPermit(ctx context.Context, s *state) {
	e.mu.Lock()
	s.renewedAt = e.Common.Clock.Now()
	claim := s.claim()
	e.mu.Unlock()
	answer := e.permits.Acquire(ctx, claim)
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch a := answer.(type) {
	case permit.Held:
		if s.stage(now) != probation.InService {
			s.permitExpires = a.Until
		}
	case permit.Denied:
		s.permitExpires = now
	case permit.Unavailable:
	}
}

// healthCheck checks a target whose ejection time is over. A target that answers
// becomes half-open, another one stays ejected for longer.
func (e *Ejector) healthCheck(ctx context.Context, s *state) {
	err := e.sendHealthCheck(ctx, s.target.Address)
	now := e.Common.Clock.Now()
	e.mu.Lock()
	if err != nil {
		s.probation.Eject(now)
		e.mu.Unlock()
		return
	}
	s.probation.BeginProbing(now)
	e.mu.Unlock()
	e.Common.Info(event.TargetHalfOpen, targetFields(s.target)...)
	e.publishEjected()
}

// sendHealthCheck sends an OPTIONS request and accepts any answer, also one of 500
// or more: the probe requests show whether the target serves well.
func (e *Ejector) sendHealthCheck(ctx context.Context, addr ids.Address) error {
	ctx, cancel := e.Common.Clock.WithTimeout(ctx, healthCheckTimeout)
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

// readmitted publishes a target that passed its probe requests, and releases its
// permit. Operators' tools know this cause of a readmission as "trial".
func (e *Ejector) readmitted(ctx context.Context, s *state) {
	e.mu.Lock()
	claim := s.claim()
	s.permitExpires = 0
	e.mu.Unlock()
	metric.Readmissions.Counter(e.Common.Metrics).Inc(1)
	e.Common.Info(event.TargetReadmitted, append(targetFields(s.target), zap.String("why", "trial"))...)
	e.publishEjected()
	e.permits.Release(ctx, claim)
}

// permitExpired publishes a target that was readmitted because its permit expired.
func (e *Ejector) permitExpired(s *state) {
	metric.Readmissions.Counter(e.Common.Metrics).Inc(1)
	e.Common.Warn(event.TargetReadmitted, append(targetFields(s.target), zap.String("why", "permit"))...)
	e.publishEjected()
}

func targetFields(t Target) []zap.Field {
	return []zap.Field{zap.String("target", string(t.ID)), zap.String("service", string(t.Service))}
}

// findingFields returns the log fields of a finding: what decided it. The key
// "usual" is the siblings' baseline latency.
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

// latency converts a mean log latency, of seconds, into a duration. It is zero when
// the latency is not known.
func latency(known bool, log float64) time.Duration {
	if !known {
		return 0
	}
	return time.Duration(math.Exp(log) * float64(time.Second))
}
