// Package sibling summarises the outcomes of a target's siblings, the other targets
// of its service, over the same period, and derives a baseline from them.
//
// # Usage
//
//	var s sibling.Summary
//	s.Record(sample.Good{Took: 20 * time.Millisecond})
//	baseline := sibling.Median(answers)
//
// A Summary is a few numbers, so that it is queried when it is needed instead of
// being broadcast all the time.
package sibling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/sample"
)

// minSpread is the least standard deviation of the logarithm of the latency. It
// prevents false alarms where all responses take nearly the same time.
const minSpread = 0.35

const (
	// minOwnOutcomes is the number of outcomes below which a sibling's own share or
	// mean is too uncertain for a median; the siblings are pooled instead.
	minOwnOutcomes = 8
	// minTrimSiblings is the least number of siblings of which the worst is left out.
	minTrimSiblings = 4
)

// Summary counts outcomes. The zero value counts none. It is sent to other daemons
// under the names of its fields.
type Summary struct {
	Good int
	Bad  int
	// Timed is the number of outcomes with a known latency.
	Timed int
	// Logs and Squares sum the natural logarithm of the latency in seconds, and
	// its square.
	Logs    float64
	Squares float64
}

// Record counts one outcome.
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

// recordLatency adds one latency. Zero means that it is not known.
func (s *Summary) recordLatency(took time.Duration) {
	if took <= 0 {
		return
	}
	log := math.Log(took.Seconds())
	s.Timed++
	s.Logs += log
	s.Squares += log * log
}

// Add returns the summary of the outcomes of both.
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

// BadShare returns the share of bad outcomes, from 0 to 1.
func (s Summary) BadShare() float64 { return float64(s.Bad) / float64(max(s.Count(), 1)) }

// MeanLog returns the mean natural logarithm of the latency in seconds.
func (s Summary) MeanLog() float64 { return s.Logs / float64(max(s.Timed, 1)) }

// Spread returns the standard deviation of the logarithm of the latency, at least
// minSpread. It is 1 with fewer than two latencies.
func (s Summary) Spread() float64 {
	if s.Timed < 2 {
		return 1
	}
	mean := s.MeanLog()
	return max(math.Sqrt(max(s.Squares/float64(s.Timed)-mean*mean, 0)), minSpread)
}

// Baseline is the present error share and latency of a healthy target of the service.
type Baseline struct {
	// Known is false until a sibling has reported outcomes.
	Known bool
	// Timed is false until a sibling has reported latencies; MeanLog and Spread are
	// zero until then.
	Timed    bool
	BadShare float64
	MeanLog  float64
	Spread   float64
}

// Median returns the median of the siblings as the baseline, so that a minority of
// failing siblings doesn't hide another failing target. If one sibling has fewer than
// minOwnOutcomes, all are pooled instead.
func Median(list []Summary) Baseline {
	var b Baseline
	counted, fewCounted := nonEmpty(list, Summary.Count)
	timed, fewTimed := nonEmpty(list, func(s Summary) int { return s.Timed })
	if len(counted) > 0 {
		b.Known = true
		b.BadShare = upperMedian(counted, fewCounted, Summary.BadShare)
	}
	if len(timed) > 0 {
		b.Timed = true
		b.MeanLog = upperMedian(timed, fewTimed, Summary.MeanLog)
		b.Spread = upperMedian(timed, fewTimed, Summary.Spread)
	}
	return b
}

// nonEmpty returns the summaries with a count above zero, and whether one of them is
// below minOwnOutcomes.
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

// upperMedian returns the higher of the two middle values of an even number, in favour
// of the target that is compared. It sorts the list. If few is set it returns the
// value of the pooled summaries.
func upperMedian(list []Summary, few bool, value func(Summary) float64) float64 {
	if few {
		return value(Pool(list))
	}
	slices.SortFunc(list, func(a, b Summary) int { return cmp.Compare(value(a), value(b)) })
	return value(list[len(list)/2])
}

// Pool returns the summary of all outcomes together.
func Pool(list []Summary) Summary {
	var sum Summary
	for _, s := range list {
		sum = sum.Add(s)
	}
	return sum
}

// TrimWorst pools the summaries without the one that has the highest share of bad
// outcomes, if there are at least minTrimSiblings.
func TrimWorst(list []Summary) Summary {
	sum := Pool(list)
	if len(list) < minTrimSiblings {
		return sum
	}
	worst := slices.MaxFunc(list, func(a, b Summary) int { return cmp.Compare(a.BadShare(), b.BadShare()) })
	return sum.subtract(worst)
}
