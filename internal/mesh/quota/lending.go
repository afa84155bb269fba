package quota

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// firstBurstShare is the part of the burst that a holder begins with when it starts for the
	// first time, and againShare otherwise: the account may have spent its burst at an
	// earlier process of the daemon, or at the holder that it stands in for.
	firstBurstShare = 0.5
	restartBurstShare = 0.25
	// standbyIdle is after how long without a loan a daemon that stands in for a holder begins
	// anew: the holder has lent meanwhile.
	standbyIdle = time.Second
)

// leaderState is what a holder keeps of one client leaderState.
type leaderState struct {
	bucket bucket.Bucket
	lastLoan   units.Instant
	// lastStandbyLoan is when this daemon last lent in the place of a holder that it takes for lost.
	lastStandbyLoan units.Instant
	// lastBorrow is when another daemon last borrowed.
	lastBorrow units.Instant
	// lastCheck is when the daemon that would stand in was last asked whether it does.
	lastCheck units.Instant
	// yieldUntil is set while another daemon stands in for this one.
	yieldUntil units.Instant
	// restrictedUntil is set while others can't reach this daemon and use their own parts.
	restrictedUntil units.Instant
}

// Lend answers another daemon. One that holds the account itself lends; another one asks
// the holder, as far as it can reach it, so that daemons with different views of the fleet
// don't borrow from two.
func (q *Quota) Lend(ctx context.Context, b link.Borrow) link.Lent {
	if b.Check {
		return link.Lent{Known: true, Standby: q.isStandby(b.Account), NoAnswer: q.isUnresponsive(b.Leader)}
	}
	q.recordBorrow(b.Account)
	if lent, ok := q.forward(ctx, b); ok {
		return lent
	}
	p, ok := q.config.Policy()
	if !ok {
		return link.Lent{}
	}
	a, ok := p.AccountByID(b.Account)
	if !ok {
		return link.Lent{}
	}
	now := q.Common.Clock.Now()
	lent := link.Lent{Count: q.lendTokens(a, b.Count, now), Known: true}
	if b.StandbyHops == 0 {
		q.recordLoan(a.ID, now)
	}
	return lent
}

// forward asks the holder for another daemon; it is false when this one has to lend.
func (q *Quota) forward(ctx context.Context, b link.Borrow) (link.Lent, bool) {
	own := q.Common.Mesh.Sockets.Known()
	leader := b.Leader
	if leader == "" || (leader == own && q.declinesToLend(b.Account)) {
		leader = q.leader(b.Account)
	}
	asStandby := b.StandbyHops > 0
	if leader == own || (asStandby && (b.StandbyHops > 1 || !q.declinesToLend(b.Account))) {
		return link.Lent{}, false
	}
	message := q.newBorrow(b.Account, b.Count, leader)
	if asStandby {
		message = link.Borrow{Account: b.Account, Count: b.Count, StandbyHops: b.StandbyHops + 1}
	}
	lent, err := q.sendBorrow(ctx, leader, message, forwardTimeout)
	if err == nil {
		return lent, true
	}
	if b.Leader != "" {
		return link.Lent{}, true
	}
	q.recordFailure(leader, err)
	return link.Lent{}, false
}

// lendTokens takes up to count requests from the account's bucket.
func (q *Quota) lendTokens(a policy.Account, count int, now units.Instant) int {
	part := q.lendableFraction(a.ID, now)
	standby := q.highestRanked(a.ID, anyDaemon) != q.registry.Own().Address
	_, restarted := q.registry.Previous()
	share := firstBurstShare
	if standby || restarted {
		share = restartBurstShare
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.stateOf(a, part, min(share, part), now)
	if standby && now.Sub(h.lastLoan) > standbyIdle {
		h.capBalance(now, share)
	}
	if h.yieldUntil > 0 && !now.Before(h.yieldUntil) {
		h.yieldUntil = 0
		h.capBalance(now, restartBurstShare)
	}
	h.lastLoan = now
	if !standby && h.checkDue(now) {
		h.lastCheck = now
		go q.checkStandby(a.ID)
	}
	n := 0
	for n < count && h.bucket.Consume(now, units.Token) {
		n++
	}
	return n
}

// stateOf returns what this daemon keeps of an stateOf, with the part of its limits that it
// may lend now. A new bucket begins with a share of the burst. The caller holds the lock.
func (q *Quota) stateOf(a policy.Account, part, share float64, now units.Instant) *leaderState {
	rate := units.Rate(float64(a.Rate) * part)
	h, ok := q.led[a.ID]
	if !ok {
		h = &leaderState{bucket: bucket.Bucket{Rate: rate, Burst: a.Burst}}
		h.bucket.SetBalance(now, max(units.Tokens(share*float64(a.Burst)), units.Token))
		q.led[a.ID] = h
	}
	if h.bucket.Rate != rate || h.bucket.Burst != a.Burst {
		h.bucket.Resize(now, rate, a.Burst)
	}
	return h
}

// capBalance leaves at most a share of the burst of what gathered in the bucket while another
// daemon lent.
func (h *leaderState) capBalance(now units.Instant, share float64) {
	h.bucket.SetBalance(now, min(h.bucket.Balance(now), units.Tokens(share*float64(h.bucket.Burst))))
}
