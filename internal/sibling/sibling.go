// Package sibling summarises what a target's siblings, the other targets of its
// service, went through in the same time.
//
// # Usage
//
//	var s sibling.Summary
//	s.Note(sample.Good{Took: 20 * time.Millisecond})
//	usual := sibling.Median(answers)
//
// A Summary is a few numbers, so that it can be asked for when it is needed
// instead of being spread all the time.
package sibling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/sample"
)

// minSpread is the least standard deviation of the logarithm of the latency. It
// keeps the test calm where all answers take the same time.
const minSpread = 0.35

const (
	// minOwnOutcomes is the number below which a sibling's own figures say little.
	minOwnOutcomes = 8
	// minTrimSiblings is the least number of siblings of which the worst is left out.
	minTrimSiblings = 4
)

// Summary counts outcomes. The zero value has seen none.
type Summary struct {
	Good int
	Bad  int
	// Timed is the number of good answers with a known latency.
	Timed int
	// Logs and Squares sum the natural logarithm of the latency in seconds, and
	// its square.
	Logs    float64
	Squares float64
}

// Record adds one outcome.
func (s *Summary) Record(x sample.Sample) {
	switch x := x.(type) {
	case sample.Good:
		s.Good++
		s.recordLatency(x.Took)
	case sample.TimedOut:
		s.recordLatency(x.Waited)
	case sample.ServerError, sample.Truncated, sample.Hung, sample.ConnectFailed:
		s.Bad++
	case sample.Cancelled:
	}
}

// recordLatency adds one latency; zero is an unknown one.
func (s *Summary) recordLatency(took time.Duration) {
	if took <= 0 {
		return
	}
	log := math.Log(took.Seconds())
	s.Timed++
	s.Logs += log
	s.Squares += log * log
}

// Add returns the sum of two summaries.
func (s Summary) Add(o Summary) Summary {
	return Summary{
		Good:    s.Good + o.Good,
		Bad:     s.Bad + o.Bad,
		Timed:   s.Timed + o.Timed,
		Logs:    s.Logs + o.Logs,
		Squares: s.Squares + o.Squares,
	}
}

func (s Summary) subtract(o Summary) Summary {
	return Summary{
		Good:    s.Good - o.Good,
		Bad:     s.Bad - o.Bad,
		Timed:   s.Timed - o.Timed,
		Logs:    s.Logs - o.Logs,
		Squares: s.Squares - o.Squares,
	}
}

// Count returns the number of outcomes.
func (s Summary) Count() int { return s.Good + s.Bad }

// BadShare returns the share of bad outcomes.
func (s Summary) BadShare() float64 { return float64(s.Bad) / float64(max(s.Count(), 1)) }

// MeanLog returns the mean logarithm of the latency.
func (s Summary) MeanLog() float64 { return s.Logs / float64(max(s.Timed, 1)) }

// Spread returns the standard deviation of the logarithm of the latency.
func (s Summary) Spread() float64 {
	if s.Timed < 2 {
		return 1
	}
	mean := s.MeanLog()
	return max(math.Sqrt(max(s.Squares/float64(s.Timed)-mean*mean, 0)), minSpread)
}

// Baseline is what a healthy target of the service does at present.
type Baseline struct {
	// Known is false until a sibling has answered.
	Known bool
	// Timed is false until a sibling has reported latencies.
	Timed    bool
	BadShare float64
	MeanLog  float64
	Spread   float64
}

// Median returns the middle of the siblings, so that a minority of failing
// siblings doesn't hide another failing target. Siblings with few outcomes are
// taken together instead.
func Median(list []Summary) Baseline {
	var u Baseline
	counted, fewCounted := nonEmpty(list, Summary.Count)
	timed, fewTimed := nonEmpty(list, func(s Summary) int { return s.Timed })
	if len(counted) > 0 {
		u.Known = true
		u.BadShare = upperMedian(counted, fewCounted, Summary.BadShare)
	}
	if len(timed) > 0 {
		u.Timed = true
		u.MeanLog = upperMedian(timed, fewTimed, Summary.MeanLog)
		u.Spread = upperMedian(timed, fewTimed, Summary.Spread)
	}
	return u
}

// nonEmpty returns the summaries that count anything, and whether one counts little.
func nonEmpty(list []Summary, count func(Summary) int) ([]Summary, bool) {
	var some []Summary
	few := false
	for _, s := range list {
		if count(s) > 0 {
			some = append(some, s)
			few = few || count(s) < minOwnOutcomes
		}
	}
	return some, few
}

// upperMedian returns the upper median: with an even number the higher one counts, in
// favour of the target on trial.
func upperMedian(list []Summary, few bool, value func(Summary) float64) float64 {
	if few {
		return value(Pool(list))
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(value(a), value(b)) })
	return value(list[len(list)/2])
}

// Pool returns the sum of the summaries.
func Pool(list []Summary) Summary {
	var sum Summary
	for _, s := range list {
		sum = sum.Add(s)
	}
	return sum
}

// TrimWorst returns the sum of the summaries without the one that has the highest share
// of bad outcomes, when enough remain.
func TrimWorst(list []Summary) Summary {
	sum := Pool(list)
	if len(list) < minTrimSiblings {
		return sum
	}
	worst := slices.MaxFunc(list, func(a, b Summary) int { return cmp.Compare(a.BadShare(), b.BadShare()) })
	return sum.subtract(worst)
}
