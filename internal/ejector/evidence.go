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
	// hangSpreads is how many deviations above the siblings' usual latency a
	// request is taken for hung.
	hangSpreads = 5.0
	// minHang and maxHang bound the time after which a request is taken for hung.
	minHang = 200 * time.Millisecond
	maxHang = 10 * time.Second
	// maxHangs bounds how often one request counts as hung.
	maxHangs = 2
	// coldSlower is the factor by which a cold target may be slower.
	coldSlower = 10.0
)

// evidence is what is known of one target. Ejector.mu guards it.
type evidence struct {
	target    Target
	tracked   units.Instant
	detector  detector.Detector
	probation probation.Probation
	flight    map[*Observation]bool
	// until is when the permit lapses; the target is never out at or after it.
	until units.Instant
	// finding is why the target is out.
	finding detector.Failing
	// busy is set while a task asks siblings, the steward or the target.
	busy bool
	// learned is when the siblings were last asked as a matter of routine.
	learned units.Instant
	// renewed is when the permit was last renewed.
	renewed units.Instant
	// denied is when the steward last refused a permit, or zero.
	denied units.Instant
	// lapsed is set when a permit ran out and the fleet has not been told.
	lapsed bool
	// relapsed is set when a trial failed and operators have not been told.
	relapsed bool
}

// stage returns where the target stands. Without a permit it is in service.
func (p *evidence) stage(now units.Instant) probation.Stage {
	if p.probation.Stage() != probation.In && !now.Before(p.until) {
		p.probation.Readmit(now)
		p.detector.Reset()
		p.lapsed = true
	}
	return p.probation.Stage()
}

// cold reports whether the target is still warming up.
func (p *evidence) cold(now units.Instant) bool { return now.Sub(p.tracked) < p.target.WarmUp }

// note takes in one outcome.
func (p *evidence) note(now units.Instant, route ids.Route, x sample.Sample) {
	if p.stage(now) != probation.In {
		p.trial(now, x)
		return
	}
	if g, ok := x.(sample.Good); ok && p.cold(now) {
		g.Took = p.warm(g.Took)
		x = g
	}
	p.detector.Record(now, route, x)
}

// warm allows for a cold target: up to coldSlower times the siblings' usual
// latency tells nothing.
func (p *evidence) warm(took time.Duration) time.Duration {
	usual := p.detector.Usual()
	if !usual.Timed || math.Log(took.Seconds()) < usual.Log+math.Log(coldSlower) {
		return 0
	}
	return time.Duration(float64(took) / coldSlower)
}

// trial counts an outcome of a target on trial.
func (p *evidence) trial(now units.Instant, x sample.Sample) {
	switch x := x.(type) {
	case sample.Good:
		if p.slow(x.Took) {
			p.fail(now)
			return
		}
		if p.probation.Good(now) {
			p.detector.Reset()
		}
	case sample.ServerError, sample.Truncated, sample.Hung, sample.ConnectFailed:
		p.fail(now)
	case sample.TimedOut:
		if p.slow(x.Waited) {
			p.fail(now)
		}
	case sample.Cancelled:
	}
}

// fail ends a trial; the target is out again for longer.
func (p *evidence) fail(now units.Instant) {
	p.relapsed = p.relapsed || p.probation.Stage() == probation.Trial
	p.probation.Bad(now)
}

// slow reports whether an answer on trial took as long as those that led to the
// ejection.
func (p *evidence) slow(took time.Duration) bool {
	f := p.finding
	if f.Question.Reason != detector.Slow || took <= 0 {
		return false
	}
	return math.Log(took.Seconds()) > (f.Own.Log()+f.Siblings.Log)/2
}

// hang returns after which time a request is taken for hung, or false while the
// siblings' latency is not known.
func (p *evidence) hang(now units.Instant) (time.Duration, bool) {
	u := p.detector.Usual()
	if !u.Timed {
		return 0, false
	}
	limit := math.Exp(u.Log+hangSpreads*u.Spread) * float64(time.Second)
	if p.cold(now) {
		limit *= coldSlower
	}
	return time.Duration(min(max(limit, float64(minHang)), float64(maxHang))), true
}

// noteHangs counts requests that have been in flight for too long.
func (p *evidence) noteHangs(now units.Instant) {
	limit, ok := p.hang(now)
	if !ok {
		return
	}
	for w := range p.flight {
		due := limit + limit*time.Duration(w.hangs)/2
		if w.sent && w.hangs < maxHangs && now.Sub(w.began) >= due {
			w.hangs++
			p.note(now, w.route, sample.Hung{})
		}
	}
}
