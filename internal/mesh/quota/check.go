package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// checkInterval is the time between two checks for a standby. It is shorter than the time
	// after which a leader is replaced.
	checkInterval = time.Second
	// minIdle is after how long without a Borrow a leader checks whether others can't reach it.
	// It is longer than a Borrow takes.
	minIdle = 300 * time.Millisecond
	// maxIdle is after how long without a Borrow a leader assumes that there is no demand.
	maxIdle = 2 * time.Second
	// restrictTime is for how long a leader that others can't reach lends only its own equal
	// share of the limit. By its end they have another leader.
	restrictTime = failoverAfter
	// yieldTime is for how long a leader leaves an account to its standby.
	yieldTime = 2 * time.Second
)

// checkDue reports whether it is time to check whether others have lost this daemon.
func (h *leaderState) checkDue(now units.Instant) bool {
	since, idle := now.Sub(h.lastCheck), now.Sub(h.lastBorrow)
	return h.lastCheck == 0 || since >= checkInterval ||
		(since >= minIdle && idle >= minIdle && idle < maxIdle)
}

// sampleDue reports whether a leader has to find out which daemons it reaches, and which reach it:
// the account spends its burst, or the leader's own callers alone got more than a grant.
func (h *leaderState) sampleDue(a policy.Account, now units.Instant) bool {
	if h.lastBalance < bucketSize(a)/2 {
		return true
	}
	return h.lentAlone > startGrant(a) && now.Sub(h.lastBorrow) >= minIdle
}

// recordBorrow records that another daemon borrows, which shows that it reaches this one.
func (q *Quota) recordBorrow(id ids.Account) {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.led[id]; ok {
		h.lastBorrow, h.restrictedUntil, h.lentAlone = now, 0, 0
	}
	if q.unreached {
		// They reach this daemon again, so the estimate is out of date.
		q.unreached, q.lostUntil = false, 0
	}
}

// recordLoan records a loan that this daemon made, possibly as standby of the account's leader.
// The leader learns of that from its next check. Callers leave out the loans that a yielding
// leader requested, since that leader knows of them.
func (q *Quota) recordLoan(id ids.Account, now units.Instant) {
	if q.highestRanked(id, anyDaemon) == q.registry.Own().Address {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.led[id]; ok {
		h.lastStandbyLoan = now
	}
}

// isStandby reports whether this daemon recently lent in place of the account's leader.
func (q *Quota) isStandby(id ids.Account) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[id]
	return ok && h.lastStandbyLoan > 0 && now.Sub(h.lastStandbyLoan) < standbyIdle
}

// isUnresponsive reports whether a daemon recently gave no answer, neither directly nor through
// a neighbour.
func (q *Quota) isUnresponsive(a ids.Address) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, unresponsive := q.unresponsiveSince[a]
	return unresponsive && q.reachable.Suspected(a)
}

// checkStandby asks the daemon that would be this one's standby whether it lends: others may
// have lost this daemon although it reaches them. If so, this daemon leaves the account to the
// standby for a while. Until the standby lends, the others use their fallback shares, and this
// daemon its own equal share.
func (q *Quota) checkStandby(id ids.Account) {
	now := q.Common.Clock.Now()
	own := q.registry.Own().Address
	next := q.highestRanked(id, func(a ids.Address) bool { return a != own && !q.isLost(a, now) })
	if next == own {
		return
	}
	lent, err := q.sendBorrow(q.ctx, next, link.Borrow{Account: id, Check: true, Leader: own}, forwardTimeout)
	cutOff := false
	if err != nil {
		q.recordFailure(next, err)
		q.probeFleet()
		others, _ := q.othersInReach()
		cutOff = len(others) == 0 || !q.probe(others[0])
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[id]
	if !ok {
		return
	}
	now = q.Common.Clock.Now()
	switch {
	case lent.Standby:
		h.yieldUntil = now.Add(yieldTime)
		q.Common.Info(event.LeaderDeferred, zap.String("account", string(id)), zap.String("holder", string(next)))
	case lent.NoAnswer, cutOff && now.Sub(h.lastBorrow) >= minIdle:
		h.restrictedUntil = now.Add(restrictTime)
		q.Common.Info(event.LeaderSuspected, zap.String("account", string(id)), zap.String("asked", string(next)))
	case err == nil:
		h.restrictedUntil = 0
		h.release(now)
	}
}

const (
	// probeInterval is the least time between two probes of the fleet, and sampleInterval that
	// between two samples.
	probeInterval  = time.Second
	sampleInterval = 250 * time.Millisecond
	// maxProbed bounds how many daemons are probed at once, and maxWaves how many times that in one
	// probe of the fleet. sampled is how many daemons are in a sample.
	maxProbed = 32
	maxWaves  = 8
	sampled   = 4
	// estimateTTL is for how long an estimate of the daemons out of reach holds.
	estimateTTL = probeInterval + 2*borrowTimeout
)

// probeFleet finds out which other daemons this one can't reach, so that a leader on either side
// of a cut lends no more than its part of the limits. It returns at once.
func (q *Quota) probeFleet() {
	if q.probeDue(&q.probedAt, probeInterval) {
		go q.probeWaves(maxProbed, maxWaves)
	}
}

// sampleFleet probes a few daemons, and the fleet if one of them gives no answer. It is meant for
// leaders of accounts that spend their burst, and returns at once.
func (q *Quota) sampleFleet() {
	if !q.probeDue(&q.sampledAt, sampleInterval) {
		return
	}
	go func() {
		if q.probeWaves(sampled, 1) > 0 {
			q.probeFleet()
		}
	}()
}

// probeWaves probes up to n daemons at once, and others again as long as some give no answer. It
// estimates from them how many of the fleet are out of reach, and returns how many of the probed
// ones gave no answer.
func (q *Quota) probeWaves(n, waves int) int {
	others, suspected := q.othersInReach()
	silent, probed := 0, 0
	for wave := range slices.Chunk(others, n) {
		if waves--; waves < 0 {
			break
		}
		found := q.probeAll(wave)
		silent, probed = silent+found, probed+len(wave)
		if silent > 0 {
			q.estimate(float64(suspected) + float64(len(others)*silent)/float64(probed))
		}
		if found == 0 {
			break
		}
	}
	return silent
}

// probeAll probes daemons at the same time and returns how many gave no answer.
func (q *Quota) probeAll(list []ids.Address) int {
	answers := make(chan bool, len(list))
	for _, a := range list {
		go func() { answers <- q.probe(a) }()
	}
	silent := 0
	for range list {
		if !<-answers {
			silent++
		}
	}
	return silent
}

// estimate records how many daemons are out of reach, as far as a sample tells.
func (q *Quota) estimate(lost float64) {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lost, q.lostUntil = lost, now.Add(estimateTTL)
}

// estimated returns how many daemons were out of reach by the last estimate, or 0 when it is old.
func (q *Quota) estimated(now units.Instant) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.lostUntil) {
		return q.lost
	}
	return 0
}

// probeDue reports whether the last probe is long enough ago, and sets its time if so.
func (q *Quota) probeDue(last *units.Instant, interval time.Duration) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if *last > 0 && now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

// recordUnreached records that a daemon which this one reaches had no answer from it.
func (q *Quota) recordUnreached(unreached bool) {
	if !unreached {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unreached = true
}

// othersInReach returns the other daemons that are not suspected, in random order, and how many
// are.
func (q *Quota) othersInReach() ([]ids.Address, int) {
	own, suspected := q.registry.Own().Address, 0
	var others []ids.Address
	for _, r := range q.registry.All() {
		switch {
		case r.Address == own:
		case q.reachable.Suspected(r.Address):
			suspected++
		default:
			others = append(others, r.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others, suspected
}

// probe reports whether this daemon and another reach each other. One that gives no answer is marked
// as suspected. One that answers and got no answer from this daemon uses its fallback shares too.
func (q *Quota) probe(a ids.Address) bool {
	lent, err := q.sendBorrow(q.ctx, a, link.Borrow{Check: true, Leader: q.registry.Own().Address}, borrowTimeout)
	if err == nil {
		q.recordUnreached(lent.NoAnswer)
		return !lent.NoAnswer
	}
	if q.ctx.Err() != nil {
		return true
	}
	q.recordFailure(a, err)
	return false
}
