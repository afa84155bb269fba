// Package balancer balances the load of a service over its targets by the power of
// two random choices.
//
// # Usage
//
//	b := balancer.Balancer{Self: "vm7", Centre: "north", Region: "home"}
//	i := b.Pick(rng, now, "andrade/payments", candidates, tried)
//	b.Begin(now, id)
//	b.UpdateLoad(now, answer.Load)
//	b.End(id)
//
// Targets report their load with every answer and refusal; there are no other load
// reports. Targets of the own data centre are preferred until their slots are taken.
// Each daemon uses a subset of a large service, so that it keeps few connections,
// and uses other targets only when the subset is full or failing.
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
	// defaultLatency is assumed for two targets when neither has reported its own.
	defaultLatency = 50 * time.Millisecond
	// centrePenalty and regionPenalty are added to the estimated latency of targets
	// in another data centre of the region and in another region.
	centrePenalty = 2 * time.Millisecond
	regionPenalty = 60 * time.Millisecond
	// loadReportLifetime is the age at which a load report no longer counts; its
	// weight falls linearly until then.
	loadReportLifetime = 2 * time.Second
	// avoidTime is how long a target that could not be reached is avoided. It
	// doubles with each failure up to maxAvoidTime.
	avoidTime    = 500 * time.Millisecond
	maxAvoidTime = 8 * time.Second
	// evictAfter is how long the state of an unused target is retained.
	evictAfter = time.Minute
	// minWarmUpShare is the share of its usual requests that a target gets at the
	// start of its warm-up.
	minWarmUpShare = 0.1
	// maxDraws bounds how often a draw rejects targets that warm up.
	maxDraws = 4
)

// Balancer holds the last reported load of each target. Self, Centre and Region are set
// before the first use; then its methods may be called concurrently.
type Balancer struct {
	Self   ids.Daemon
	Centre ids.Centre
	Region ids.Region

	mu      sync.Mutex
	targets map[ids.Target]*targetState
	subsets map[ids.Service]*subset
}

// targetState is the state of one target as this daemon knows it.
type targetState struct {
	load       call.Load
	reportedAt units.Instant
	// otherRequests is the reported load without this daemon's requests.
	otherRequests int
	// ownRequests counts this daemon's requests in progress at the target.
	ownRequests int
	failures    int
	avoidUntil  units.Instant
	usedAt      units.Instant
	// firstDrawnAt is when the target was first drawn.
	firstDrawnAt units.Instant
}

// selection holds the arguments of one call of Pick.
type selection struct {
	*Balancer
	rng   *rand.Rand
	now   units.Instant
	list  []directory.Candidate
	tried map[ids.Target]bool
}

// Pick returns the index in list of a candidate that is not in tried, or -1. Failing
// candidates are picked only if there is no other. rng is used under the lock of the Balancer.
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

// usable returns the candidates of the group that are not tried yet, without those
// that are avoided unless failing is set.
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

// draw returns a random candidate. One that warms up is drawn in proportion to its
// warm-up share.
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

// better returns the candidate with the lower estimated latency, the first if they are
// equal. An index below zero stands for no candidate.
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

// warmUpShare returns the part of its usual requests that a target can take, from
// minWarmUpShare to 1.
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

// occupancy estimates the requests in progress and queued at the target.
func (s *selection) occupancy(t directory.Candidate) float64 {
	v, ok := s.targets[t.ID]
	if !ok {
		return 0
	}
	fresh := 1 - float64(s.now.Sub(v.reportedAt))/float64(loadReportLifetime)
	return float64(v.ownRequests) + float64(v.otherRequests)*max(fresh, 0)
}

// typicalLatency returns the latency that the target reported, or unknown if it has
// reported none.
func (s *selection) typicalLatency(t directory.Candidate, unknown time.Duration) time.Duration {
	if v, ok := s.targets[t.ID]; ok && v.load.Typical > 0 {
		return v.load.Typical
	}
	return unknown
}

// estimatedLatency estimates the latency of a request at the target, queueing and
// distance included.
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

// Begin counts a request that this daemon sends to the target.
func (b *Balancer) Begin(now units.Instant, id ids.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target(now, id).ownRequests++
}

// End counts the end of a request at the target.
func (b *Balancer) End(id ids.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.targets[id]; ok && v.ownRequests > 0 {
		v.ownRequests--
	}
}

// UpdateLoad stores the load that the target reported with an answer or a refusal. It
// ends the avoidance of the target, but a target that is leaving is avoided for
// maxAvoidTime.
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

// RecordFailure makes Pick avoid a target whose gatekeeper could not be reached.
func (b *Balancer) RecordFailure(now units.Instant, id ids.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.target(now, id)
	v.avoidUntil = now.Add(min(avoidTime<<min(v.failures, 8), maxAvoidTime))
	v.failures++
}

// EvictUnused removes targets and subsets that were not used for evictAfter.
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

// Len returns the number of targets with retained state.
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
