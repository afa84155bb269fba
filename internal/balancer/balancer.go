// Package chooser picks a target by the power of two random choices.
//
// # Usage
//
//	c := chooser.Chooser{Self: "vm7", Centre: "north", Region: "home"}
//	i := c.Pick(rng, now, "andrade/payments", candidates, tried)
//	c.Begin(now, id)
//	c.Learn(now, answer.Load)
//	c.End(id)
//
// Load comes back on every answer and refusal; there is no other load traffic.
// Targets of the own data centre go first until their slots are taken. Each
// daemon uses a subset of a large service, so that it keeps few connections, and
// looks beyond it only when the subset is full or failing.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// defaultLatency stands in for the time of one request where neither of two
	// targets has reported yet.
	defaultLatency = 50 * time.Millisecond
	// centrePenalty and regionPenalty are what a target elsewhere costs more.
	centrePenalty = 2 * time.Millisecond
	regionPenalty = 60 * time.Millisecond
	// loadReportLifetime is when a report says nothing any more.
	loadReportLifetime = 2 * time.Second
	// avoidTime is how long a target is avoided that could not be reached; it
	// doubles with each failure up to maxAvoidTime.
	avoidTime    = 500 * time.Millisecond
	maxAvoidTime = 8 * time.Second
	// evictAfter is how long an unused target is remembered.
	evictAfter = time.Minute
	// minWarmUpShare is the share of requests that a completely cold target gets.
	minWarmUpShare = 0.1
	// maxDraws bounds the draws that pass over a cold target.
	maxDraws = 4
)

// Balancer remembers the last load of each target. The zero value knows nothing.
type Balancer struct {
	Self   ids.Daemon
	Centre ids.Centre
	Region ids.Region

	mu      sync.Mutex
	targets map[ids.Target]*targetState
	subsets map[ids.Service]*subset
}

// targetState is what this daemon knows of one target.
type targetState struct {
	load       call.Load
	reportedAt units.Instant
	// otherRequests is the reported load without this daemon's own requests.
	otherRequests int
	// ownRequests counts this daemon's own requests at the target.
	ownRequests int
	failures    int
	avoidUntil  units.Instant
	usedAt      units.Instant
	// firstDrawnAt is when the target was first drawn.
	firstDrawnAt units.Instant
}

// selection is one call of Pick.
type selection struct {
	*Balancer
	rng   *rand.Rand
	now   units.Instant
	list  []directory.Candidate
	tried map[ids.Target]bool
}

// Pick returns the index of a candidate that was not tried yet, or -1.
func (b *Balancer) Pick(rng *rand.Rand, now units.Instant, id ids.Service, list []directory.Candidate, tried map[ids.Target]bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &selection{Balancer: b, rng: rng, now: now, list: list, tried: tried}
	sub := b.subset(now, id, list)
	best := -1
	for _, group := range [][]int{sub.local, sub.remote, sub.reserve} {
		best = s.better(best, s.bestOfTwo(s.usable(group, false)))
		if best >= 0 && !s.full(list[best]) {
			return best
		}
	}
	if best < 0 {
		return s.bestOfTwo(s.usable(sub.all(), true))
	}
	return best
}

// usable returns the candidates that can be drawn; failing ones only on request.
func (s *selection) usable(group []int, failing bool) []int {
	if len(s.tried) == 0 && !s.anyFailing(group) {
		return group
	}
	var out []int
	for _, i := range group {
		if !s.tried[s.list[i].ID] && (failing || !s.failing(s.list[i])) {
			out = append(out, i)
		}
	}
	return out
}

func (s *selection) anyFailing(group []int) bool {
	for _, i := range group {
		if s.failing(s.list[i]) {
			return true
		}
	}
	return false
}

func (s *selection) failing(t directory.Candidate) bool {
	v, ok := s.targets[t.ID]
	return ok && s.now.Before(v.avoidUntil)
}

// bestOfTwo returns the better of two random candidates, or -1.
func (s *selection) bestOfTwo(group []int) int {
	switch len(group) {
	case 0:
		return -1
	case 1:
		return group[0]
	}
	return s.better(s.draw(group), s.draw(group))
}

// draw returns a random candidate; a cold one is drawn in proportion to its
// warmth.
func (s *selection) draw(group []int) int {
	i := group[s.rng.IntN(len(group))]
	for range maxDraws {
		if warm := s.warmUpShare(s.list[i]); warm == 1 || s.rng.Float64() < warm {
			return i
		}
		i = group[s.rng.IntN(len(group))]
	}
	return i
}

// better returns the one with the shorter wait, and the first where they are equal.
func (s *selection) better(i, j int) int {
	if i < 0 {
		return j
	}
	if j < 0 {
		return i
	}
	a, b := s.list[i], s.list[j]
	if s.estimatedLatency(b, s.typicalLatency(b, s.typicalLatency(a, defaultLatency))) < s.estimatedLatency(a, s.typicalLatency(a, s.typicalLatency(b, defaultLatency))) {
		return j
	}
	return i
}

// warmUpShare returns how much of its share a target can take, from leastWarm to 1.
func (s *selection) warmUpShare(t directory.Candidate) float64 {
	if t.WarmUp <= 0 || t.Age >= t.WarmUp {
		return 1
	}
	age := t.Age + s.now.Sub(s.target(s.now, t.ID).firstDrawnAt)
	return min(max(float64(age)/float64(t.WarmUp), minWarmUpShare), 1)
}

func (s *selection) full(t directory.Candidate) bool {
	return s.occupancy(t) >= float64(max(t.Slots, 1))*s.warmUpShare(t)
}

// occupancy returns the requests at the target, as far as they are known.
func (s *selection) occupancy(t directory.Candidate) float64 {
	v, ok := s.targets[t.ID]
	if !ok {
		return 0
	}
	fresh := 1 - float64(s.now.Sub(v.reportedAt))/float64(loadReportLifetime)
	return float64(v.ownRequests) + float64(v.otherRequests)*max(fresh, 0)
}

// typicalLatency returns the target's usual time, or another where it is not known.
func (s *selection) typicalLatency(t directory.Candidate, unknown time.Duration) time.Duration {
	if v, ok := s.targets[t.ID]; ok && v.load.Typical > 0 {
		return v.load.Typical
	}
	return unknown
}

// estimatedLatency estimates how long a request would take at the target.
func (s *selection) estimatedLatency(t directory.Candidate, typical time.Duration) time.Duration {
	slots := float64(max(t.Slots, 1)) * s.warmUpShare(t)
	wait := typical + time.Duration(float64(typical)*s.occupancy(t)/slots)
	switch {
	case t.Centre == s.Centre:
		return wait
	case t.Region == s.Region:
		return wait + centrePenalty
	default:
		return wait + regionPenalty
	}
}

// Begin notes that this daemon sends a request to the target.
func (b *Balancer) Begin(now units.Instant, id ids.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target(now, id).ownRequests++
}

// End notes that a request ended at the target.
func (b *Balancer) End(id ids.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.targets[id]; ok && v.ownRequests > 0 {
		v.ownRequests--
	}
}

// UpdateLoad stores the load that came back with an answer or a refusal.
func (b *Balancer) UpdateLoad(now units.Instant, l call.Load) {
	if l.Target == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.target(now, l.Target)
	v.load = l
	v.reportedAt = now
	v.otherRequests = max(l.InFlight+l.Queued-v.ownRequests, 0)
	v.failures = 0
	v.avoidUntil = 0
	if l.Leaving {
		v.avoidUntil = now.Add(maxAvoidTime)
	}
}

// RecordFailure notes that the target's gatekeeper could not be reached.
func (b *Balancer) RecordFailure(now units.Instant, id ids.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.target(now, id)
	v.avoidUntil = now.Add(min(avoidTime<<min(v.failures, 8), maxAvoidTime))
	v.failures++
}

// EvictUnused drops what is known of targets that were not used for a while.
func (b *Balancer) EvictUnused(now units.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, v := range b.targets {
		if v.ownRequests == 0 && now.Sub(v.usedAt) > evictAfter {
			delete(b.targets, id)
		}
	}
	for id, s := range b.subsets {
		if now.Sub(s.usedAt) > evictAfter {
			delete(b.subsets, id)
		}
	}
}

// Len returns how many targets the chooser remembers.
func (b *Balancer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.targets)
}

func (b *Balancer) target(now units.Instant, id ids.Target) *targetState {
	if b.targets == nil {
		b.targets = map[ids.Target]*targetState{}
	}
	v, ok := b.targets[id]
	if !ok {
		v = &targetState{firstDrawnAt: now}
		b.targets[id] = v
	}
	v.usedAt = now
	return v
}
