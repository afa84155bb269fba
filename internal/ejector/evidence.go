package ejector

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/detector"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/probation"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// hangDeviations is how many deviations above the siblings' usual latency a
	// request is taken for hung.
	hangDeviations = 5.0
	// minHangTime and maxHang bound the time after which a request is taken for hung.
	minHangTime = 200 * time.Millisecond
	maxHangTime = 10 * time.Second
	// maxHangsPerRequest bounds how often one request counts as hung.
	maxHangsPerRequest = 2
	// warmUpFactor is the factor by which a cold target may be slower.
	warmUpFactor = 10.0
)

// state is what is known of one target. Ejector.mu guards it.
type state struct {
	target    Target
	trackedAt units.Instant
	detector  detector.Detector
	probation probation.Probation
	inFlight  map[*Observation]bool
	// permitExpires is when the permit lapses; the target is never out at or after it.
	permitExpires units.Instant
	// finding is why the target is out.
	finding detector.Failing
	// busy is set while a task asks siblings, the steward or the target.
	busy bool
	// baselineAt is when the siblings were last asked as a matter of routine.
	baselineAt units.Instant
	// renewedAt is when the permit was last renewedAt.
	renewedAt units.Instant
	// deniedAt is when the steward last refused a permit, or zero.
	deniedAt units.Instant
	// permitExpired is set when a permit ran out and the fleet has not been told.
	permitExpired bool
	// probeFailed is set when a trial failed and operators have not been told.
	probeFailed bool
}

// stage returns where the target stands. Without a permit it is in service.
func (p *state) stage(now units.Instant) probation.Stage {
	if p.probation.Stage() != probation.InService && !now.Before(p.permitExpires) {
		p.probation.Readmit(now)
		p.detector.Reset()
		p.permitExpired = true
	}
	return p.probation.Stage()
}

// warmingUp reports whether the target is still warming up.
func (p *state) warmingUp(now units.Instant) bool { return now.Sub(p.trackedAt) < p.target.WarmUp }

// record takes in one outcome.
func (p *state) record(now units.Instant, route ids.Route, x sample.Sample) {
	if p.stage(now) != probation.InService {
		p.recordProbe(now, x)
		return
	}
	if g, ok := x.(sample.Good); ok && p.warmingUp(now) {
		g.Took = p.discountWarmUp(g.Took)
		x = g
	}
	p.detector.Record(now, route, x)
}

// discountWarmUp allows for a cold target: up to coldSlower times the siblings' usual
// latency tells nothing.
func (p *state) discountWarmUp(took time.Duration) time.Duration {
	usual := p.detector.Baseline()
	if !usual.Timed || math.Log(took.Seconds()) < usual.MeanLog+math.Log(warmUpFactor) {
		return 0
	}
	return time.Duration(float64(took) / warmUpFactor)
}

// recordProbe counts an outcome of a target on recordProbe.
func (p *state) recordProbe(now units.Instant, x sample.Sample) {
	switch x := x.(type) {
	case sample.Good:
		if p.slow(x.Took) {
			p.failProbe(now)
			return
		}
		if p.probation.RecordGood(now) {
			p.detector.Reset()
		}
	case sample.ServerError, sample.Truncated, sample.Hung, sample.ConnectFailed:
		p.failProbe(now)
	case sample.TimedOut:
		if p.slow(x.Waited) {
			p.failProbe(now)
		}
	case sample.Cancelled:
	}
}

// failProbe ends a trial; the target is out again for longer.
func (p *state) failProbe(now units.Instant) {
	p.probeFailed = p.probeFailed || p.probation.Stage() == probation.HalfOpen
	p.probation.RecordBad(now)
}

// slow reports whether an answer on trial took as long as those that led to the
// ejection.
func (p *state) slow(took time.Duration) bool {
	f := p.finding
	if f.Suspicion.Reason != detector.Slow || took <= 0 {
		return false
	}
	return math.Log(took.Seconds()) > (f.Own.MeanLog()+f.Siblings.MeanLog)/2
}

// hangLimit returns after which time a request is taken for hung, or false while the
// siblings' latency is not known.
func (p *state) hangLimit(now units.Instant) (time.Duration, bool) {
	u := p.detector.Baseline()
	if !u.Timed {
		return 0, false
	}
	limit := math.Exp(u.MeanLog+hangDeviations*u.Spread) * float64(time.Second)
	if p.warmingUp(now) {
		limit *= warmUpFactor
	}
	return time.Duration(min(max(limit, float64(minHangTime)), float64(maxHangTime))), true
}

// recordHangs counts requests that have been in flight for too long.
func (p *state) recordHangs(now units.Instant) {
	limit, ok := p.hangLimit(now)
	if !ok {
		return
	}
	for w := range p.inFlight {
		due := limit + limit*time.Duration(w.hangs)/2
		if w.sent && w.hangs < maxHangsPerRequest && now.Sub(w.sentAt) >= due {
			w.hangs++
			p.record(now, w.route, sample.Hung{})
		}
	}
}
