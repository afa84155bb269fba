package detector

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/cusum"
	"balsamwharf.example/balsamwharf/internal/recent"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

// minConnectFailures is the number of failed connections in a row that makes a target
// unreachable whatever its siblings say.
const minConnectFailures = 5

// stream is one sequence of outcomes: all of a target's, or those of one route.
type stream struct {
	baseline   sibling.Baseline
	baselineAt units.Instant
	errors     cusum.Cusum
	latency    cusum.Cusum
	recent     recent.Window
	// connectFailures counts failed connections in a row.
	connectFailures int
	queriedAt       units.Instant
}

// updateBaseline sets what counts as usual, as far as the siblings have told.
func (s *stream) updateBaseline(now units.Instant, u sibling.Baseline) {
	if u.Known {
		s.baseline.Known = true
		s.baseline.BadShare = u.BadShare
	}
	if u.Timed {
		s.baseline.Timed = true
		s.baseline.MeanLog = u.MeanLog
		s.baseline.Spread = u.Spread
	}
	s.baselineAt = now
}

// record takes in one outcome.
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
		// A short wait is no evidence for the target, because the answer is missing.
		if ratio := cusum.LatencyRatio(s.baseline, x.Waited); ratio > 0 {
			s.latency.Add(now, x, ratio)
		}
	case sample.Cancelled:
	}
}

// suspicion returns the suspicion that is due, if any.
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

// dismiss forgets the evidence that the siblings' answers explain.
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

// own returns the outcomes that raised the suspicion.
func (s *stream) own(q Suspicion) sibling.Summary {
	if q.Reason == Slow {
		return s.latency.Outcomes()
	}
	return s.errors.Outcomes()
}
