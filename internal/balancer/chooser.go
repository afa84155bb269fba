// Package balancer picks a target by the power of two random choices.
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
	// typicalUnknown stands in for the time of one request where neither of two
	// targets has reported yet.
	typicalUnknown = 50 * time.Millisecond
	// centrePenalty and regionPenalty are what a target elsewhere costs more.
	centrePenalty = 2 * time.Millisecond
	regionPenalty = 60 * time.Millisecond
	// loadLifetime is when a report says nothing any more.
	loadLifetime = 2 * time.Second
	// avoidTime is how long a target is avoided that could not be reached; it
	// doubles with each failure up to maxAvoidTime.
	avoidTime    = 500 * time.Millisecond
	maxAvoidTime = 8 * time.Second
	// forgetTime is how long an unused target is remembered.
	forgetTime = time.Minute
	// leastWarm is the share of requests that a completely cold target gets.
	leastWarm = 0.1
	// maxDraws bounds the draws that pass over a cold target.
	maxDraws = 4
)

// Balancer remembers the last load of each target. The zero value knows nothing.
type Balancer struct {
	Self   ids.Daemon
	Centre ids.Centre
	Region ids.Region

	mu      sync.Mutex
	seen    map[ids.Target]*view
	subsets map[ids.Service]*subset
}

// view is what this daemon knows of one target.
type view struct {
	load     call.Load
	reported units.Instant
	// others is the reported load without this daemon's own requests.
	others int
	// open counts this daemon's own requests at the target.
	open     int
	failures int
	avoid    units.Instant
	used     units.Instant
	// met is when the target was first drawn.
	met units.Instant
}

// pick is one call of Pick.
type pick struct {
	*Balancer
	rng   *rand.Rand
	now   units.Instant
	list  []directory.Candidate
	tried map[ids.Target]bool
}

// Pick returns the index of a candidate that was not tried yet, or -1.
func (c *Balancer) Pick(rng *rand.Rand, now units.Instant, id ids.Service, list []directory.Candidate, tried map[ids.Target]bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &pick{Balancer: c, rng: rng, now: now, list: list, tried: tried}
	s := c.subset(now, id, list)
	best := -1
	for _, group := range [][]int{s.near, s.far, s.rest} {
		best = p.better(best, p.ofTwo(p.usable(group, false)))
		if best >= 0 && !p.full(list[best]) {
			return best
		}
	}
	if best < 0 {
		return p.ofTwo(p.usable(s.all(), true))
	}
	return best
}

// usable returns the candidates that can be drawn; failing ones only on request.
func (p *pick) usable(group []int, failing bool) []int {
	if len(p.tried) == 0 && !p.anyFailing(group) {
		return group
	}
	var out []int
	for _, i := range group {
		if !p.tried[p.list[i].ID] && (failing || !p.failing(p.list[i])) {
			out = append(out, i)
		}
	}
	return out
}

func (p *pick) anyFailing(group []int) bool {
	for _, i := range group {
		if p.failing(p.list[i]) {
			return true
		}
	}
	return false
}

func (p *pick) failing(t directory.Candidate) bool {
	v, ok := p.seen[t.ID]
	return ok && p.now.Before(v.avoid)
}

// ofTwo returns the better of two random candidates, or -1.
func (p *pick) ofTwo(group []int) int {
	switch len(group) {
	case 0:
		return -1
	case 1:
		return group[0]
	}
	return p.better(p.draw(group), p.draw(group))
}

// draw returns a random candidate; a cold one is drawn in proportion to its
// warmth.
func (p *pick) draw(group []int) int {
	i := group[p.rng.IntN(len(group))]
	for range maxDraws {
		if warm := p.warmth(p.list[i]); warm == 1 || p.rng.Float64() < warm {
			return i
		}
		i = group[p.rng.IntN(len(group))]
	}
	return i
}

// better returns the one with the shorter wait, and the first where they are equal.
func (p *pick) better(i, j int) int {
	if i < 0 {
		return j
	}
	if j < 0 {
		return i
	}
	a, b := p.list[i], p.list[j]
	if p.wait(b, p.typical(b, p.typical(a, typicalUnknown))) < p.wait(a, p.typical(a, p.typical(b, typicalUnknown))) {
		return j
	}
	return i
}

// warmth returns how much of its share a target can take, from leastWarm to 1.
func (p *pick) warmth(t directory.Candidate) float64 {
	if t.WarmUp <= 0 || t.Age >= t.WarmUp {
		return 1
	}
	age := t.Age + p.now.Sub(p.view(p.now, t.ID).met)
	return min(max(float64(age)/float64(t.WarmUp), leastWarm), 1)
}

func (p *pick) full(t directory.Candidate) bool {
	return p.busy(t) >= float64(max(t.Slots, 1))*p.warmth(t)
}

// busy returns the requests at the target, as far as they are known.
func (p *pick) busy(t directory.Candidate) float64 {
	v, ok := p.seen[t.ID]
	if !ok {
		return 0
	}
	fresh := 1 - float64(p.now.Sub(v.reported))/float64(loadLifetime)
	return float64(v.open) + float64(v.others)*max(fresh, 0)
}

// typical returns the target's usual time, or another where it is not known.
func (p *pick) typical(t directory.Candidate, unknown time.Duration) time.Duration {
	if v, ok := p.seen[t.ID]; ok && v.load.Typical > 0 {
		return v.load.Typical
	}
	return unknown
}

// wait estimates how long a request would take at the target.
func (p *pick) wait(t directory.Candidate, typical time.Duration) time.Duration {
	slots := float64(max(t.Slots, 1)) * p.warmth(t)
	wait := typical + time.Duration(float64(typical)*p.busy(t)/slots)
	switch {
	case t.Centre == p.Centre:
		return wait
	case t.Region == p.Region:
		return wait + centrePenalty
	default:
		return wait + regionPenalty
	}
}

// Begin notes that this daemon sends a request to the target.
func (c *Balancer) Begin(now units.Instant, id ids.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(now, id).open++
}

// End notes that a request ended at the target.
func (c *Balancer) End(id ids.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.seen[id]; ok && v.open > 0 {
		v.open--
	}
}

// UpdateLoad stores the load that came back with an answer or a refusal.
func (c *Balancer) UpdateLoad(now units.Instant, l call.Load) {
	if l.Target == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(now, l.Target)
	v.load = l
	v.reported = now
	v.others = max(l.InFlight+l.Queued-v.open, 0)
	v.failures = 0
	v.avoid = 0
	if l.Leaving {
		v.avoid = now.Add(maxAvoidTime)
	}
}

// RecordFailure notes that the target's gatekeeper could not be reached.
func (c *Balancer) RecordFailure(now units.Instant, id ids.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(now, id)
	v.avoid = now.Add(min(avoidTime<<min(v.failures, 8), maxAvoidTime))
	v.failures++
}

// EvictUnused drops what is known of targets that were not used for a while.
func (c *Balancer) EvictUnused(now units.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, v := range c.seen {
		if v.open == 0 && now.Sub(v.used) > forgetTime {
			delete(c.seen, id)
		}
	}
	for id, s := range c.subsets {
		if now.Sub(s.used) > forgetTime {
			delete(c.subsets, id)
		}
	}
}

// Known returns how many targets the chooser remembers.
func (c *Balancer) Known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen)
}

func (c *Balancer) view(now units.Instant, id ids.Target) *view {
	if c.seen == nil {
		c.seen = map[ids.Target]*view{}
	}
	v, ok := c.seen[id]
	if !ok {
		v = &view{met: now}
		c.seen[id] = v
	}
	v.used = now
	return v
}
