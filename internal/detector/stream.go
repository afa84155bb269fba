package detector

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/cusum"
	"balsamwharf.example/balsamwharf/internal/recent"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

// minUnreached is the number of failed connections in a row that makes a target
// unreachable whatever its siblings say.
const minUnreached = 5

// stream is one sequence of outcomes: all of a target's, or those of one route.
type stream struct {
	usual   sibling.Usual
	learned units.Instant
	errors  cusum.Cusum
	latency cusum.Cusum
	recent  recent.Recent
	// unreached counts failed connections in a row.
	unreached int
	asked     units.Instant
}

// learn sets what counts as usual, as far as the siblings have told.
func (s *stream) learn(now units.Instant, u sibling.Usual) {
	if u.Known {
		s.usual.Known = true
		s.usual.Share = u.Share
	}
	if u.Timed {
		s.usual.Timed = true
		s.usual.Log = u.Log
		s.usual.Spread = u.Spread
	}
	s.learned = now
}

// note takes in one outcome.
func (s *stream) note(now units.Instant, x sample.Sample) {
	s.recent.Note(now, x)
	switch x := x.(type) {
	case sample.Good:
		s.unreached = 0
		s.errors.Add(now, x, cusum.Errors(s.usual, false))
		if x.Took > 0 {
			s.latency.Add(now, x, cusum.Latency(s.usual, x.Took))
		}
	case sample.ServerError, sample.Truncated, sample.Hung:
		s.unreached = 0
		s.errors.Add(now, x, cusum.Errors(s.usual, true))
	case sample.ConnectFailed:
		s.unreached++
		s.errors.Add(now, x, cusum.Errors(s.usual, true))
	case sample.TimedOut:
		// A short wait is no evidence for the target, because the answer is missing.
		if ratio := cusum.Latency(s.usual, x.Waited); ratio > 0 {
			s.latency.Add(now, x, ratio)
		}
	case sample.Cancelled:
	}
}

// question returns the suspicion that is due, if any.
func (s *stream) question(now units.Instant) (Suspicion, bool) {
	if s.asked != 0 && now.Sub(s.asked) < askPause {
		return Suspicion{}, false
	}
	var q Suspicion
	switch {
	case s.unreached >= minUnreached:
		q = Suspicion{Reason: Unreachable, Statistic: s.errors.Sum(), Window: back(now, s.errors)}
	case s.errors.Sum() >= cusum.Threshold:
		q = Suspicion{Reason: Errors, Statistic: s.errors.Sum(), Window: back(now, s.errors)}
	case s.latency.Sum() >= cusum.Threshold:
		q = Suspicion{Reason: Slow, Statistic: s.latency.Sum(), Window: back(now, s.latency)}
	default:
		return Suspicion{}, false
	}
	s.asked = now
	return q, true
}

func back(now units.Instant, c cusum.Cusum) time.Duration {
	return min(now.Sub(c.Since()), recent.Span)
}

// acquit forgets the evidence that the siblings' answers explain.
func (s *stream) acquit(now units.Instant, q Suspicion, fresh sibling.Usual) {
	s.learn(now, fresh)
	s.unreached = 0
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
		return s.latency.Own()
	}
	return s.errors.Own()
}
