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
func (s *state) stage(now units.Instant) probation.Stage {
	if s.probation.Stage() != probation.InService && !now.Before(s.permitExpires) {
		s.probation.Readmit(now)
		s.detector.Reset()
		s.permitExpired = true
	}
	return s.probation.Stage()
}

// warmingUp reports whether the target is still warming up.
func (s *state) warmingUp(now units.Instant) bool { return now.Sub(s.trackedAt) < s.target.WarmUp }

// record takes in one outcome.
func (s *state) record(now units.Instant, route ids.Route, x sample.Sample) {
	if s.stage(now) != probation.InService {
		s.recordProbe(now, x)
		return
	}
	if g, ok := x.(sample.Good); ok && s.warmingUp(now) {
		g.Took = s.discountWarmUp(g.Took)
		x = g
	}
	s.detector.Record(now, route, x)
}

// discountWarmUp allows for a cold target: up to coldSlower times the siblings' usual
// latency tells nothing.
func (s *state) discountWarmUp(took time.Duration) time.Duration {
	usual := s.detector.Baseline()
	if !usual.Timed || math.Log(took.Seconds()) < usual.MeanLog+math.Log(warmUpFactor) {
		return 0
	}
	return time.Duration(float64(took) / warmUpFactor)
}

// recordProbe counts an outcome of a target on recordProbe.
func (s *state) recordProbe(now units.Instant, x sample.Sample) {
	switch x := x.(type) {
	case sample.Good:
		if s.slow(x.Took) {
			s.failProbe(now)
			return
		}
		if s.probation.RecordGood(now) {
			s.detector.Reset()
		}
	case sample.ServerError, sample.Truncated, sample.Hung, sample.ConnectFailed:
		s.failProbe(now)
	case sample.TimedOut:
		if s.slow(x.Waited) {
			s.failProbe(now)
		}
	case sample.Cancelled:
	}
}

// failProbe ends a trial; the target is out again for longer.
func (s *state) failProbe(now units.Instant) {
	s.probeFailed = s.probeFailed || s.probation.Stage() == probation.HalfOpen
	s.probation.RecordBad(now)
}

// slow reports whether an answer on trial took as long as those that led to the
// ejection.
func (s *state) slow(took time.Duration) bool {
	f := s.finding
	if f.Suspicion.Reason != detector.Slow || took <= 0 {
		return false
	}
	return math.Log(took.Seconds()) > (f.Own.MeanLog()+f.Siblings.MeanLog)/2
}

// hangLimit returns after which time a request is taken for hung, or false while the
// siblings' latency is not known.
func (s *state) hangLimit(now units.Instant) (time.Duration, bool) {
	u := s.detector.Baseline()
	if !u.Timed {
		return 0, false
	}
	limit := math.Exp(u.MeanLog+hangDeviations*u.Spread) * float64(time.Second)
	if s.warmingUp(now) {
		limit *= warmUpFactor
	}
	return time.Duration(min(max(limit, float64(minHangTime)), float64(maxHangTime))), true
}

// recordHangs counts requests that have been in flight for too long.
func (s *state) recordHangs(now units.Instant) {
	limit, ok := s.hangLimit(now)
	if !ok {
		return
	}
	for o := range s.inFlight {
		due := limit + limit*time.Duration(o.hangs)/2
		if o.sent && o.hangs < maxHangsPerRequest && now.Sub(o.sentAt) >= due {
			o.hangs++
			s.record(now, o.route, sample.Hung{})
		}
	}
}
