package detector

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/cusum"
	"balsamwharf.example/balsamwharf/internal/recent"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

// minConnectFailures is the number of failed connections in a row from which a target
// is suspected as unreachable. That needs no minimum of siblings' outcomes.
const minConnectFailures = 5

// stream holds the tests of one sequence of outcomes: all of a target, or those of
// one route.
type stream struct {
	baseline   sibling.Baseline
	baselineAt units.Instant
	errors     cusum.Cusum
	latency    cusum.Cusum
	recent     recent.Window
	// connectFailures counts failed connections in a row.
	connectFailures int
	// queriedAt is when a suspicion was last returned, or zero.
	queriedAt units.Instant
}

// updateBaseline replaces the parts of the baseline that the siblings have reported.
func (s *stream) updateBaseline(now units.Instant, b sibling.Baseline) {
	if b.Known {
		s.baseline.Known = true
		s.baseline.BadShare = b.BadShare
	}
	if b.Timed {
		s.baseline.Timed = true
		s.baseline.MeanLog = b.MeanLog
		s.baseline.Spread = b.Spread
	}
	s.baselineAt = now
}

// record updates the tests with one outcome.
func (s *stream) record(now units.Instant, x sample.Sample) {
	s.recent.Record(now, x)
	switch x := x.(type) {
	case sample.Good:
		s.connectFailures = 0
		s.errors.Add(now, x, cusum.ErrorRatio(s.baseline, false))
		if x.Took > 0 {
			s.latency.Add(now, x, cusum.LatencyRatio(s.baseline, x.Took))
		}
	case sample.ServerError, sample.Truncated, sample.Hung:
		s.connectFailures = 0
		s.errors.Add(now, x, cusum.ErrorRatio(s.baseline, true))
	case sample.ConnectFailed:
		s.connectFailures++
		s.errors.Add(now, x, cusum.ErrorRatio(s.baseline, true))
	case sample.TimedOut:
		// The request timed out before an answer, so a short wait does not show
		// that the target is fast.
		if ratio := cusum.LatencyRatio(s.baseline, x.Waited); ratio > 0 {
			s.latency.Add(now, x, ratio)
		}
	case sample.Cancelled:
	}
}

// suspicion returns the suspicion that is due, if any, and sets queriedAt.
func (s *stream) suspicion(now units.Instant) (Suspicion, bool) {
	if s.queriedAt != 0 && now.Sub(s.queriedAt) < queryInterval {
		return Suspicion{}, false
	}
	var q Suspicion
	switch {
	case s.connectFailures >= minConnectFailures:
		q = Suspicion{Reason: Unreachable, Statistic: s.errors.Sum(), Window: windowSince(now, s.errors)}
	case s.errors.Sum() >= cusum.Threshold:
		q = Suspicion{Reason: Errors, Statistic: s.errors.Sum(), Window: windowSince(now, s.errors)}
	case s.latency.Sum() >= cusum.Threshold:
		q = Suspicion{Reason: Slow, Statistic: s.latency.Sum(), Window: windowSince(now, s.latency)}
	default:
		return Suspicion{}, false
	}
	s.queriedAt = now
	return q, true
}

func windowSince(now units.Instant, c cusum.Cusum) time.Duration {
	return min(now.Sub(c.Since()), recent.Span)
}

// dismiss takes the siblings' figures as the baseline and resets the test, whose
// evidence they explain.
func (s *stream) dismiss(now units.Instant, q Suspicion, fresh sibling.Baseline) {
	s.updateBaseline(now, fresh)
	s.connectFailures = 0
	switch q.Reason {
	case Slow:
		s.latency.Reset()
	case Errors, Unreachable:
		s.errors.Reset()
	}
}

// own returns the target's outcomes that raised the suspicion.
func (s *stream) own(q Suspicion) sibling.Summary {
	if q.Reason == Slow {
		return s.latency.Outcomes()
	}
	return s.errors.Outcomes()
}
