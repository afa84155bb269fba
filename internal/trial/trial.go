// Package trial runs detectors over made-up request streams, on plain values and
// without a clock, to measure how fast and how rightly they decide.
//
// # Usage
//
//	r := trial.Run(trial.Plan{Seed: 1, Targets: 9, Rate: 20, Fault: trial.Errs{Share: 0.3}, At: 20 * time.Second, Until: time.Minute})
//	fmt.Println(r.Sick, r.Wrong)
//
// Target 0 has the fault; with Wide every target has it.
package trial

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/detector"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	learnPeriod  = 10 * time.Second
	learnWindow  = 10 * time.Second
	asked        = 5
	routes       = 10
	naiveInARow  = 5
	hangFactor   = 5.0
	healthyShare = 0.001
)

// Plan describes one run.
type Plan struct {
	Seed    uint64
	Targets int
	// Rate is the requests per second at each target.
	Rate float64
	// Typical and Spread are the median latency and the deviation of its logarithm.
	Typical time.Duration
	Spread  float64
	Fault   Fault
	Wide    bool
	At      time.Duration
	Until   time.Duration
}

// Result says when targets were taken for failing.
type Result struct {
	// Sick is the time from the fault to the finding, or negative without one.
	Sick time.Duration
	// Naive is the same for five errors in a row.
	Naive time.Duration
	// Wrong counts findings on healthy targets, NaiveWrong those of five in a row.
	Wrong      int
	NaiveWrong int
	Samples    int
}

// outcome is a request that ends at an instant.
type outcome struct {
	at     units.Instant
	target int
	route  ids.Route
	sample sample.Sample
}

type queue []outcome

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if o, ok := x.(outcome); ok {
		*q = append(*q, o)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run is the state of one run.
type run struct {
	plan      Plan
	rng       *rand.Rand
	detectors []detector.Detector
	row       []int
	pending   queue
	result    Result
}

// Run carries out a plan.
func Run(p Plan) Result {
	r := &run{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 7)), result: Result{Sick: -1, Naive: -1}}
	r.detectors = make([]detector.Detector, p.Targets)
	r.row = make([]int, p.Targets)
	gap := float64(time.Second) / (p.Rate * float64(p.Targets))
	learn := units.Instant(learnPeriod)
	for now := units.Instant(0); now < units.Instant(p.Until); now = now.Add(time.Duration(r.rng.ExpFloat64() * gap)) {
		if now >= learn {
			r.learn(now)
			learn = learn.Add(learnPeriod)
		}
		r.begin(now)
		r.finish(now)
	}
	return r.result
}

func (r *run) learn(now units.Instant) {
	for i := range r.detectors {
		r.detectors[i].UpdateBaseline(now, r.ask(now, i, "", learnWindow))
	}
}

// ask returns the summaries of a few random siblings.
func (r *run) ask(now units.Instant, not int, route ids.Route, back time.Duration) []sibling.Summary {
	var answers []sibling.Summary
	for _, j := range r.rng.Perm(len(r.detectors)) {
		if j != not && len(answers) < asked {
			answers = append(answers, r.detectors[j].Summary(now, route, back))
		}
	}
	return answers
}

// begin draws a request and how it will end.
func (r *run) begin(now units.Instant) {
	o := outcome{target: r.rng.IntN(r.plan.Targets), route: ids.Route('a' + rune(r.rng.IntN(routes)))}
	took := time.Duration(float64(r.plan.Typical) * math.Exp(r.plan.Spread*r.rng.NormFloat64()))
	o.sample = sample.Good{Took: took}
	if r.rng.Float64() < healthyShare {
		o.sample = sample.ServerError{}
	}
	if now >= units.Instant(r.plan.At) && (r.plan.Wide || o.target == 0) {
		took, o.sample = r.strike(now, o.route, took, o.sample)
	}
	o.at = now.Add(took)
	heap.Push(&r.pending, o)
}

// finish hands the outcomes that are due to the detectors.
func (r *run) finish(now units.Instant) {
	for len(r.pending) > 0 && r.pending[0].at <= now {
		o, ok := heap.Pop(&r.pending).(outcome)
		if !ok {
			return
		}
		r.result.Samples++
		r.naive(o)
		d := &r.detectors[o.target]
		d.Record(o.at, o.route, o.sample)
		q, due := d.Suspicion(o.at)
		if !due {
			continue
		}
		if _, failing := d.Evaluate(o.at, q, r.ask(o.at, o.target, q.Route, q.Window)).(detector.Failing); failing {
			r.found(o, &r.result.Sick, &r.result.Wrong)
			d.Reset()
		}
	}
}

// found books a finding as right or wrong.
func (r *run) found(o outcome, sick *time.Duration, wrong *int) {
	right := r.plan.Fault != nil && !r.plan.Wide && o.target == 0 && o.at >= units.Instant(r.plan.At)
	if !right {
		*wrong++
		return
	}
	if *sick < 0 {
		*sick = o.at.Sub(units.Instant(r.plan.At))
	}
}

// naive takes a target for failing after five errors in a row.
func (r *run) naive(o outcome) {
	if _, good := o.sample.(sample.Good); good {
		r.row[o.target] = 0
		return
	}
	r.row[o.target]++
	if r.row[o.target] == naiveInARow {
		r.row[o.target] = 0
		r.found(o, &r.result.Naive, &r.result.NaiveWrong)
	}
}
