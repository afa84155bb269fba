package quota

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// standbyIdle is after how long without a loan a standby caps its bucket again, because the leader
// has lent meanwhile.
const standbyIdle = time.Second

// leaderState is what a daemon stores for an account that it leads, or lends for as standby.
type leaderState struct {
	bucket   bucket.Bucket
	lastLoan units.Instant
	// lastBalance is what the last loan left in the bucket, and withheld what came in later and is
	// not lent before it is known that no other daemon lent meanwhile.
	lastBalance, withheld units.Tokens
	// lastStandbyLoan is when this daemon last lent in place of a leader that it regards as lost.
	lastStandbyLoan units.Instant
	// lastBorrow is when another daemon last borrowed.
	lastBorrow units.Instant
	// lentAlone is what was lent since then, to this daemon's own callers.
	lentAlone units.Tokens
	// lastCheck is when the potential standby was last asked whether it lends.
	lastCheck units.Instant
	// yieldUntil is set while the account is left to a standby.
	yieldUntil units.Instant
	// restrictedUntil is set while other daemons can't reach this one and use their fallback
	// shares.
	restrictedUntil units.Instant
	charges         charges
}

// Lend answers a Borrow of another daemon. If this daemon is not the leader, it forwards the
// message to the leader if it can reach that, so that daemons with different views of the fleet
// don't borrow from two leaders.
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
	q.charge(a, b, now)
	lent := link.Lent{Count: q.lendTokens(a, b.Count, now), Known: true}
	if b.StandbyHops == 0 {
		q.recordLoan(a.ID, now)
	}
	return lent
}

// forward sends a Borrow on to the leader. It is false if this daemon has to lend itself.
func (q *Quota) forward(ctx context.Context, b link.Borrow) (link.Lent, bool) {
	own := q.Common.Mesh.Sockets.AdvertisedAddress()
	leader := b.Leader
	if leader == "" || leader == own {
		// The sender may have lost a leader that this daemon reaches.
		leader = q.leader(b.Account)
	}
	asStandby := b.StandbyHops > 0
	if leader == own || (asStandby && (b.StandbyHops > 1 || !q.declinesToLend(b.Account))) {
		return link.Lent{}, false
	}
	message := q.newBorrow(b.Account, b.Count, leader)
	message.Spent, message.From = b.Spent, b.From
	if asStandby {
		message = link.Borrow{Account: b.Account, Count: b.Count, StandbyHops: b.StandbyHops + 1}
	}
	lent, err := q.sendBorrow(ctx, leader, message, forwardTimeout)
	if err == nil {
		return lent, true
	}
	if b.Leader != "" && (b.Leader != own || q.declinesToLend(b.Account)) {
		return link.Lent{}, true
	}
	q.recordFailure(leader, err)
	return link.Lent{}, false
}

// lendTokens consumes up to count tokens of the account's bucket and returns how many.
func (q *Quota) lendTokens(a policy.Account, count int, now units.Instant) int {
	part := q.lendableFraction(a.ID, now)
	standby := q.highestRanked(a.ID, anyDaemon) != q.registry.Own().Address
	start := startGrant(a)
	if !standby {
		start = q.startBalance(a, now)
	}
	alone := len(q.registry.All()) == 1
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.stateOf(a, part, min(start, units.Tokens(part*float64(a.Burst))), now)
	switch {
	case standby:
		if now.Sub(h.lastLoan) > standbyIdle || now == h.lastLoan {
			h.capBalance(now, startGrant(a))
			go q.probeFleet()
		}
	case h.yieldUntil > 0 && !now.Before(h.yieldUntil):
		h.yieldUntil = 0
		h.capBalance(now, h.lastBalance+startGrant(a))
	case !alone && now.Sub(h.lastLoan) > failoverAfter:
		h.withhold(now, startGrant(a))
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
	h.lastBalance = h.bucket.Balance(now)
	h.lentAlone += units.Tokens(n) * units.Token
	if h.sampleDue(a, now) && now.Sub(q.sampledAt) >= sampleInterval {
		go q.sampleFleet()
	}
	return n
}

// stateOf returns the state of an account, with its bucket adapted to the part of the limits
// that this daemon may lend now. A new bucket starts with the balance start. The caller holds
// the lock.
func (q *Quota) stateOf(a policy.Account, part float64, start units.Tokens, now units.Instant) *leaderState {
	rate := units.Rate(float64(a.Rate) * part)
	a.Burst = bucketSize(a)
	h, ok := q.led[a.ID]
	if !ok {
		h = &leaderState{bucket: bucket.Bucket{Rate: rate, Burst: a.Burst}, lastLoan: now}
		h.bucket.SetBalance(now, max(start, units.Token))
		h.charges.start(now, a)
		q.led[a.ID] = h
	}
	h.charges.leave(now, a.Rate-rate, a)
	if h.bucket.Rate != rate || h.bucket.Burst != a.Burst {
		h.bucket.Resize(now, rate, a.Burst)
	}
	return h
}

// bucketSize returns the size of an account's bucket: its burst, or what lets a rate through that
// has no burst: tokens are lent whole, and an exhausted account's borrowers pause.
func bucketSize(a policy.Account) units.Tokens {
	return max(a.Burst, a.Rate.Over(batchDuration+exhaustedPause), 2*units.Token)
}

// capBalance caps what accumulated in the bucket while another daemon lent.
func (h *leaderState) capBalance(now units.Instant, most units.Tokens) {
	h.bucket.SetBalance(now, min(h.bucket.Balance(now), most))
}

// withhold sets aside what came into the bucket while nobody borrowed here: either the account had
// no demand, or others lost this daemon, which may have been frozen, and borrowed from a standby.
func (h *leaderState) withhold(now units.Instant, grant units.Tokens) {
	balance := h.bucket.Balance(now)
	h.capBalance(now, h.lastBalance+grant)
	h.withheld = balance - h.bucket.Balance(now)
}

// release adds what was set aside, once the standby has said that it did not lend.
func (h *leaderState) release(now units.Instant) {
	h.bucket.Refund(now, h.withheld)
	h.withheld = 0
}
