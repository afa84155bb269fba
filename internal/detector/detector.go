// Package detector decides whether a target fails, from the outcomes of its own
// requests compared with those of its siblings.
//
// # Usage
//
//	var d detector.Detector
//	d.Note(now, route, sample.Errored{})
//	if q, ok := d.Question(now); ok {
//		answers := ask(siblings, q)
//		switch f := d.Judge(now, q, answers).(type) {
//		case detector.Failing:
//		case detector.Sound, detector.Open:
//		}
//	}
//	d.Learn(now, answers) // now and then, from a few random siblings
//
// Outcomes run through one sequential test of errors and one of latency for the
// target, and through another pair for each route. A test that passes its
// threshold is only a suspicion: the siblings are asked about the same time, and
// the target fails when the same evidence holds against what they report.
package detector

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/contrast"
	"balsamwharf.example/balsamwharf/internal/cusum"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// maxRoutes bounds the routes that are followed one by one.
	maxRoutes = 64
	// queryInterval is the least time between two questions of one test.
	queryInterval = 250 * time.Millisecond
	// minSiblingOutcomes is the number of siblings' outcomes that settles a comparison.
	minSiblingOutcomes = 8
	// maxSiblingWait is how long a test waits for enough outcomes of the siblings.
	maxSiblingWait = 2 * time.Second
	// routeBaselineLifetime is how long a comparison of one route counts.
	routeBaselineLifetime = time.Minute
)

// Reason says which test a target failed.
type Reason string

// The reasons.
const (
	Errors      Reason = "errors"
	Slow        Reason = "slow"
	Unreachable Reason = "unreachable"
)

// Suspicion asks siblings for their outcomes in the time of a suspicion.
type Suspicion struct {
	Reason Reason
	// Route is empty when all routes are meant.
	Route ids.Route
	// Window is how far back the suspicion reaches.
	Window time.Duration
	// Statistic is the sum that raised the suspicion.
	Statistic float64
}

// Finding is the result of a comparison. The interface is sealed.
type Finding interface{ isFinding() }

// Healthy says that the siblings fare alike.
type Healthy struct{}

// Inconclusive says that the siblings have seen too little so far.
type Inconclusive struct{}

// Failing says that the target fails, with the numbers that decided.
type Failing struct {
	Suspicion Suspicion
	Own       sibling.Summary
	Siblings  sibling.Baseline
	// Statistic is the log likelihood ratio against the siblings.
	Statistic float64
}

// Badness is the evidence of one outcome, so that targets can be ranked by how badly
// they fail and not by how long.
func (f Failing) Badness() float64 {
	n := f.Own.Count()
	if f.Suspicion.Reason == Slow {
		n = f.Own.Timed
	}
	return f.Statistic / float64(max(n, 1))
}

func (Healthy) isFinding()      {}
func (Inconclusive) isFinding() {}
func (Failing) isFinding()      {}

// Detector holds the tests of one target. The zero value has seen nothing.
type Detector struct {
	all    stream
	routes map[ids.Route]*stream
}

// UpdateBaseline sets what the siblings usually do. Routes that were compared long ago
// start again from the target's own comparison.
func (d *Detector) UpdateBaseline(now units.Instant, answers []sibling.Summary) {
	d.all.updateBaseline(now, sibling.Median(answers))
	for _, s := range d.routes {
		if now.Sub(s.baselineAt) > routeBaselineLifetime {
			s.baseline = d.all.baseline
			s.baselineAt = now
		}
	}
}

// Baseline returns what the siblings usually do.
func (d *Detector) Baseline() sibling.Baseline { return d.all.baseline }

// Record takes in one outcome. An empty route counts for the target only.
func (d *Detector) Record(now units.Instant, route ids.Route, x sample.Sample) {
	d.all.record(now, x)
	if s := d.route(route); s != nil {
		s.record(now, x)
	}
}

// route finds the tests of a route. Routes over the bound count for the target only.
func (d *Detector) route(id ids.Route) *stream {
	if id == "" {
		return nil
	}
	if s, ok := d.routes[id]; ok {
		return s
	}
	if len(d.routes) >= maxRoutes {
		return nil
	}
	if d.routes == nil {
		d.routes = map[ids.Route]*stream{}
	}
	s := &stream{baseline: d.all.baseline, baselineAt: d.all.baselineAt}
	d.routes[id] = s
	return s
}

// Summary summarises the last outcomes, for a sibling that asks. An empty route
// means all routes.
func (d *Detector) Summary(now units.Instant, route ids.Route, back time.Duration) sibling.Summary {
	if route == "" {
		return d.all.recent.Summary(now, back)
	}
	if s, ok := d.routes[route]; ok {
		return s.recent.Summary(now, back)
	}
	return sibling.Summary{}
}

// Statistic returns the highest sum of the target's own tests.
func (d *Detector) Statistic() float64 {
	return max(d.all.errors.Sum(), d.all.latency.Sum())
}

// Reset forgets all evidence against the target, but not what its siblings do.
func (d *Detector) Reset() {
	d.all = stream{baseline: d.all.baseline, baselineAt: d.all.baselineAt, recent: d.all.recent}
	d.routes = nil
}

// Suspicion returns the strongest suspicion that is due to be put to the siblings.
func (d *Detector) Suspicion(now units.Instant) (Suspicion, bool) {
	if q, ok := d.all.suspicion(now); ok {
		return q, true
	}
	for id, s := range d.routes {
		if q, ok := s.suspicion(now); ok {
			q.Route = id
			return q, true
		}
	}
	return Suspicion{}, false
}

// Evaluate compares the suspicion with the siblings' answers.
func (d *Detector) Evaluate(now units.Instant, q Suspicion, answers []sibling.Summary) Finding {
	s := &d.all
	if q.Route != "" {
		s = d.route(q.Route)
	}
	if s == nil {
		return Healthy{}
	}
	fresh := sibling.Median(answers)
	if q.Reason != Unreachable && !enoughOutcomes(q, sibling.Pool(answers)) {
		return Inconclusive{}
	}
	own := s.own(q)
	statistic := statisticAgainst(q, fresh, own)
	if statistic < cusum.Threshold {
		s.dismiss(now, q, fresh)
		return Healthy{}
	}
	if fresh.Known && difference(q, own, sibling.TrimWorst(answers)) < requiredDifference(q) {
		return Inconclusive{}
	}
	return Failing{Suspicion: q, Own: own, Siblings: fresh, Statistic: statistic}
}

// requiredDifference returns the difference that counts as real for the question.
func requiredDifference(q Suspicion) float64 {
	if q.Route != "" {
		return contrast.RouteThreshold
	}
	return contrast.Threshold
}

// difference returns how clearly the target differs from its siblings.
func difference(q Suspicion, own, siblings sibling.Summary) float64 {
	if q.Reason == Slow {
		return contrast.Latency(own, siblings)
	}
	return contrast.Errors(own, siblings)
}

// enoughOutcomes reports whether the siblings have seen enough to compare with.
func enoughOutcomes(q Suspicion, pooled sibling.Summary) bool {
	if q.Reason == Slow {
		return pooled.Timed >= minSiblingOutcomes || (q.Window >= maxSiblingWait && pooled.Timed > 0)
	}
	return pooled.Count() >= minSiblingOutcomes || (q.Window >= maxSiblingWait && pooled.Count() > 0)
}

// statisticAgainst returns the evidence that remains when the siblings' present state is
// taken as healthy.
func statisticAgainst(q Suspicion, fresh sibling.Baseline, own sibling.Summary) float64 {
	switch q.Reason {
	case Slow:
		return cusum.LatencyRatioOf(fresh, own)
	case Unreachable, Errors:
		return cusum.ErrorRatioOf(fresh, own)
	}
	return 0
}
