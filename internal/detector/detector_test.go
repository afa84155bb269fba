package detector_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/detector"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	gap     = 50 * time.Millisecond
	latency = 50 * time.Millisecond
	quote   = ids.Route("andrade/quotes")
)

// summary returns a sibling's outcomes with one latency for all good ones.
func summary(good, bad int, took time.Duration) sibling.Summary {
	log := math.Log(took.Seconds())
	return sibling.Summary{Good: good, Bad: bad, Timed: good, Logs: float64(good) * log, Squares: float64(good) * log * log}
}

func times(n int, x sample.Sample) []sample.Sample {
	var list []sample.Sample
	for range n {
		list = append(list, x)
	}
	return list
}

func interleave(n int, a, b sample.Sample) []sample.Sample {
	var list []sample.Sample
	for range n {
		list = append(list, a, b)
	}
	return list
}

// run records the outcomes and returns the finding on the first suspicion, or nil.
func run(outcomes []sample.Sample, answers []sibling.Summary) detector.Finding {
	var d detector.Detector
	d.UpdateBaseline(0, []sibling.Summary{summary(200, 0, latency)})
	now := units.Instant(time.Second)
	for range 100 {
		now = now.Add(gap)
		d.Record(now, "", sample.Good{Took: latency})
	}
	for _, x := range outcomes {
		now = now.Add(gap)
		d.Record(now, "", x)
		if q, ok := d.Suspicion(now); ok {
			return d.Evaluate(now, q, answers)
		}
	}
	return nil
}

func TestJudge(t *testing.T) {
	healthy := []sibling.Summary{summary(40, 0, latency), summary(40, 0, latency), summary(40, 0, latency)}
	failing := []sibling.Summary{summary(5, 35, latency), summary(5, 35, latency), summary(5, 35, latency)}
	slow := []sibling.Summary{summary(40, 0, 5*latency), summary(40, 0, 5*latency), summary(40, 0, 5*latency)}
	mixed := []sibling.Summary{summary(40, 0, latency), summary(40, 0, latency), summary(2, 38, latency), summary(40, 0, latency)}
	cases := []struct {
		name     string
		outcomes []sample.Sample
		answers  []sibling.Summary
		failing  bool
		reason   detector.Reason
	}{
		{name: "errors", outcomes: times(5, sample.ServerError{}), answers: healthy, failing: true, reason: detector.Errors},
		{name: "cuts", outcomes: times(5, sample.Truncated{}), answers: healthy, failing: true, reason: detector.Errors},
		{name: "hangs", outcomes: times(5, sample.Hung{}), answers: healthy, failing: true, reason: detector.Errors},
		{name: "slow", outcomes: times(20, sample.Good{Took: 5 * latency}), answers: healthy, failing: true, reason: detector.Slow},
		{name: "late", outcomes: times(20, sample.TimedOut{Waited: 5 * latency}), answers: healthy, failing: true, reason: detector.Slow},
		{name: "refuses", outcomes: times(5, sample.ConnectFailed{}), answers: healthy, failing: true, reason: detector.Unreachable},
		{name: "another sibling fails too", outcomes: times(5, sample.ServerError{}), answers: mixed, failing: true, reason: detector.Errors},
		{name: "refuses without siblings", outcomes: times(5, sample.ConnectFailed{}), failing: true, reason: detector.Unreachable},
		{name: "errors without siblings", outcomes: times(50, sample.ServerError{})},
		{name: "four in a row", outcomes: times(4, sample.ServerError{}), answers: healthy},
		{name: "four refused", outcomes: times(4, sample.ConnectFailed{}), answers: healthy},
		{name: "four slow", outcomes: times(4, sample.Good{Took: 100 * latency}), answers: healthy},
		{name: "siblings err too", outcomes: times(20, sample.ServerError{}), answers: failing},
		{name: "siblings are slow too", outcomes: times(20, sample.Good{Took: 5 * latency}), answers: slow},
		{name: "siblings refuse too", outcomes: times(20, sample.ConnectFailed{}), answers: failing},
		{name: "cancelled", outcomes: times(200, sample.Cancelled{}), answers: healthy},
		{name: "short deadlines", outcomes: times(200, sample.TimedOut{Waited: latency / 5}), answers: healthy},
		{name: "slow between short deadlines", outcomes: interleave(30, sample.Good{Took: 5 * latency}, sample.TimedOut{Waited: latency / 5}), answers: healthy, failing: true, reason: detector.Slow},
		{name: "unknown latency", outcomes: times(200, sample.Good{}), answers: healthy},
		{name: "twice as slow now and then", outcomes: append(times(3, sample.Good{Took: 2 * latency}), times(50, sample.Good{Took: latency})...), answers: healthy},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, failing := run(c.outcomes, c.answers).(detector.Failing)
			must.EqOp(t, c.failing, failing)
			must.EqOp(t, c.reason, f.Suspicion.Reason)
		})
	}
}

// Evidence that the siblings' errors explain is dropped at once. Without answers of
// siblings it is kept.
func TestSound(t *testing.T) {
	failing := []sibling.Summary{summary(5, 35, latency), summary(5, 35, latency)}
	must.Eq(t, detector.Finding(detector.Healthy{}), run(times(20, sample.ServerError{}), failing))
	must.Eq(t, detector.Finding(detector.Inconclusive{}), run(times(20, sample.ServerError{}), nil))
}

// One failing route among many is found although the share of errors of the whole
// target is low.
func TestRoute(t *testing.T) {
	var d detector.Detector
	d.UpdateBaseline(0, []sibling.Summary{summary(200, 0, latency)})
	now := units.Instant(time.Second)
	for range 50 {
		for range 20 {
			now = now.Add(gap)
			d.Record(now, "andrade/sheets", sample.Good{Took: latency})
		}
		d.Record(now, quote, sample.ServerError{})
		q, ok := d.Suspicion(now)
		if !ok {
			continue
		}
		must.EqOp(t, quote, q.Route)
		if _, failing := d.Evaluate(now, q, []sibling.Summary{summary(20, 0, latency), summary(20, 0, latency)}).(detector.Failing); failing {
			return
		}
	}
	t.Fatal("the failing route was not found")
}

// Outcomes of routes beyond the bound still count for the target.
func TestManyRoutes(t *testing.T) {
	var d detector.Detector
	for i := range 1000 {
		d.Record(units.Instant(time.Second), ids.Route(rune('a'+i)), sample.ServerError{})
	}
	must.EqOp(t, 1000, d.Summary(units.Instant(time.Second), "", time.Second).Bad)
}

func BenchmarkNote(b *testing.B) {
	var d detector.Detector
	d.UpdateBaseline(0, []sibling.Summary{summary(200, 0, latency)})
	now := units.Instant(0)
	for b.Loop() {
		now = now.Add(gap)
		d.Record(now, quote, sample.Good{Took: latency})
		d.Suspicion(now)
	}
}
