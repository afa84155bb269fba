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
	// hangDeviations is the number of standard deviations above the siblings' baseline
	// latency (of its logarithm) from which a request counts as hung.
	hangDeviations = 5.0
	// minHangTime and maxHangTime bound the time after which a request counts as hung.
	minHangTime = 200 * time.Millisecond
	maxHangTime = 10 * time.Second
	// maxHangsPerRequest bounds how often one request counts as hung.
	maxHangsPerRequest = 2
	// warmUpFactor is the factor by which a target that warms up may be slower.
	warmUpFactor = 10.0
)

// state is the detection and ejection state of one target. Ejector.mu guards it.
type state struct {
	target    Target
	trackedAt units.Instant
	detector  detector.Detector
	probation probation.Probation
	inFlight  map[*Observation]bool
	// permitExpires is when the permit expires, or zero without a permit. The target is
	// never ejected at or after it.
	permitExpires units.Instant
	// finding is why the target is ejected.
	finding detector.Failing
	// busy is set while a task queries siblings, the steward or the target.
	busy bool
	// baselineAt is when the baseline was last refreshed from siblings.
	baselineAt units.Instant
	// renewedAt is when the permit was last renewed.
	renewedAt units.Instant
	// deniedAt is when the steward last denied a permit, or zero.
	deniedAt units.Instant
	// permitExpired is set when a permit expired and the readmission has not been
	// published yet.
	permitExpired bool
	// probeFailed is set when a probe request failed and has not been logged yet.
	probeFailed bool
}

// stage returns the target's stage. Without a permit in force it is readmitted.
func (s *state) stage(now units.Instant) probation.Stage {
	if s.probation.Stage() != probation.InService && !now.Before(s.permitExpires) {
		s.probation.Readmit(now)
		s.detector.Reset()
		s.permitExpired = true
	}
	return s.probation.Stage()
}

// warmingUp reports whether the target was added less than its warm-up time ago.
func (s *state) warmingUp(now units.Instant) bool { return now.Sub(s.trackedAt) < s.target.WarmUp }

// record passes one outcome to the detector or, of a target that is not in
// service, to the probation.
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

// discountWarmUp returns the latency that counts for a target that warms up. Up to
// warmUpFactor times the siblings' baseline it is zero: no evidence.
func (s *state) discountWarmUp(took time.Duration) time.Duration {
	baseline := s.detector.Baseline()
	if !baseline.Timed || math.Log(took.Seconds()) < baseline.MeanLog+math.Log(warmUpFactor) {
		return 0
	}
	return time.Duration(float64(took) / warmUpFactor)
}

// recordProbe records the outcome of a probe request to a half-open target.
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

// failProbe ejects a half-open target again, for a longer time.
func (s *state) failProbe(now units.Instant) {
	s.probeFailed = s.probeFailed || s.probation.Stage() == probation.HalfOpen
	s.probation.RecordBad(now)
}

// slow reports whether a probe request was as slow as the requests that led to the
// ejection: above the midpoint between their mean log latency and the siblings'.
func (s *state) slow(took time.Duration) bool {
	f := s.finding
	if f.Suspicion.Reason != detector.Slow || took <= 0 {
		return false
	}
	return math.Log(took.Seconds()) > (f.Own.MeanLog()+f.Siblings.MeanLog)/2
}

// hangLimit returns the time after which a request counts as hung, or false while
// the siblings' latency is not known.
func (s *state) hangLimit(now units.Instant) (time.Duration, bool) {
	baseline := s.detector.Baseline()
	if !baseline.Timed {
		return 0, false
	}
	limit := math.Exp(baseline.MeanLog+hangDeviations*baseline.Spread) * float64(time.Second)
	if s.warmingUp(now) {
		limit *= warmUpFactor
	}
	return time.Duration(min(max(limit, float64(minHangTime)), float64(maxHangTime))), true
}

// recordHangs records requests that have been in flight for longer than hangLimit.
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
