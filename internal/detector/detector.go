// Package detector is the outlier detection of one target: it decides from the
// outcomes of the target's requests, compared with those of its siblings, whether
// the target fails.
//
// # Usage
//
//	var d detector.Detector
//	d.Record(now, route, sample.ServerError{})
//	if q, ok := d.Suspicion(now); ok {
//		answers := query(siblings, q)
//		switch f := d.Evaluate(now, q, answers).(type) {
//		case detector.Failing:
//		case detector.Healthy, detector.Inconclusive:
//		}
//	}
//	d.UpdateBaseline(now, answers) // periodically, from a few siblings
//
// Each outcome updates a sequential test of errors and one of latency of the
// target, and the same two of its route. A test that exceeds its threshold only
// raises a suspicion: the siblings are queried for the same period, and the target
// fails when the evidence exceeds the threshold against their outcomes too. A fault
// that all targets of a service share, such as a failing dependency, is thus no
// target's fault.
//
// A Detector is not safe for concurrent use.
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
	// maxRoutes bounds the routes with tests of their own.
	maxRoutes = 64
	// queryInterval is the least time between two suspicions of one stream.
	queryInterval = 250 * time.Millisecond
	// minSiblingOutcomes is the number of siblings' outcomes that is enough for a
	// comparison.
	minSiblingOutcomes = 8
	// maxSiblingWait is the age of a suspicion from which fewer outcomes of the
	// siblings, but at least one, are enough.
	maxSiblingWait = 2 * time.Second
	// routeBaselineLifetime is the age at which the baseline of a route is replaced by
	// the target's.
	routeBaselineLifetime = time.Minute
)

// Reason names the test that a target failed.
type Reason string

// The reasons.
const (
	Errors      Reason = "errors"
	Slow        Reason = "slow"
	Unreachable Reason = "unreachable"
)

// Suspicion is a test that exceeds its threshold, with the period for which the
// siblings' outcomes are needed.
type Suspicion struct {
	Reason Reason
	// Route is empty when all routes are meant.
	Route ids.Route
	// Window is the time since the evidence began to accumulate.
	Window time.Duration
	// Statistic is the sum of the test that raised the suspicion.
	Statistic float64
}

// Finding is the result of a comparison with the siblings. The interface is sealed.
type Finding interface{ isFinding() }

// Healthy means that the siblings' outcomes are no better.
type Healthy struct{}

// Inconclusive means that there are too few outcomes so far.
type Inconclusive struct{}

// Failing means that the target fails, with the figures of the comparison.
type Failing struct {
	Suspicion Suspicion
	Own       sibling.Summary
	Siblings  sibling.Baseline
	// Statistic is the log likelihood ratio of Own with Siblings as the baseline.
	Statistic float64
}

// Badness returns the mean evidence of one outcome, so that targets are ranked by how
// badly they fail and not by how long.
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

// Detector holds the tests of one target. The zero value has no outcomes and no
// baseline.
type Detector struct {
	all    stream
	routes map[ids.Route]*stream
}

// UpdateBaseline sets the baseline from the siblings' summaries. Routes whose baseline
// is older than routeBaselineLifetime get the target's.
func (d *Detector) UpdateBaseline(now units.Instant, answers []sibling.Summary) {
	d.all.updateBaseline(now, sibling.Median(answers))
	for _, s := range d.routes {
		if now.Sub(s.baselineAt) > routeBaselineLifetime {
			s.baseline = d.all.baseline
			s.baselineAt = now
		}
	}
}

// Baseline returns the siblings' error share and latency over all routes.
func (d *Detector) Baseline() sibling.Baseline { return d.all.baseline }

// Record adds one outcome. An empty route counts for the target only.
func (d *Detector) Record(now units.Instant, route ids.Route, x sample.Sample) {
	d.all.record(now, x)
	if s := d.route(route); s != nil {
		s.record(now, x)
	}
}

// route returns the stream of a route and creates it if it is missing. It is nil for
// an empty route and for routes beyond maxRoutes.
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

// Summary returns the outcomes of the last period of length back, for a sibling's
// query. An empty route means all routes.
func (d *Detector) Summary(now units.Instant, route ids.Route, back time.Duration) sibling.Summary {
	if route == "" {
		return d.all.recent.Summary(now, back)
	}
	if s, ok := d.routes[route]; ok {
		return s.recent.Summary(now, back)
	}
	return sibling.Summary{}
}

// Statistic returns the higher sum of the target's two tests over all routes.
func (d *Detector) Statistic() float64 {
	return max(d.all.errors.Sum(), d.all.latency.Sum())
}

// Reset clears all tests and routes. The baseline and the recent outcomes over all
// routes stay.
func (d *Detector) Reset() {
	d.all = stream{baseline: d.all.baseline, baselineAt: d.all.baselineAt, recent: d.all.recent}
	d.routes = nil
}

// Suspicion returns a suspicion that is due for comparison, that of the whole target
// before those of routes. The same stream returns none for queryInterval afterwards.
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

// Evaluate compares the suspicion with the siblings' summaries. Evidence that they
// explain is dropped.
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

// requiredDifference returns the log likelihood ratio from which the difference to
// the siblings is significant.
func requiredDifference(q Suspicion) float64 {
	if q.Route != "" {
		return contrast.RouteThreshold
	}
	return contrast.Threshold
}

// difference returns the log likelihood ratio of the target being different from its
// siblings.
func difference(q Suspicion, own, siblings sibling.Summary) float64 {
	if q.Reason == Slow {
		return contrast.Latency(own, siblings)
	}
	return contrast.Errors(own, siblings)
}

// enoughOutcomes reports whether the siblings have enough outcomes to compare with.
func enoughOutcomes(q Suspicion, pooled sibling.Summary) bool {
	if q.Reason == Slow {
		return pooled.Timed >= minSiblingOutcomes || (q.Window >= maxSiblingWait && pooled.Timed > 0)
	}
	return pooled.Count() >= minSiblingOutcomes || (q.Window >= maxSiblingWait && pooled.Count() > 0)
}

// statisticAgainst returns the log likelihood ratio of the target's outcomes with the
// siblings' present figures as the baseline.
func statisticAgainst(q Suspicion, fresh sibling.Baseline, own sibling.Summary) float64 {
	switch q.Reason {
	case Slow:
		return cusum.LatencyRatioOf(fresh, own)
	case Unreachable, Errors:
		return cusum.ErrorRatioOf(fresh, own)
	}
	return 0
}
