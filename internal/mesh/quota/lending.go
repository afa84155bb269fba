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
	// primeShare is the part of the burst that a holder begins with when it starts for the
	// first time, and againShare otherwise: the account may have spent its burst at an
	// earlier process of the daemon, or at the holder that it stands in for.
	primeShare = 0.5
	againShare = 0.25
	// idleTime is after how long without a loan a daemon that stands in for a holder begins
	// anew: the holder has lent meanwhile.
	idleTime = time.Second
)

// account is what a holder keeps of one client account.
type account struct {
	bucket bucket.Bucket
	lent   units.Instant
	// stood is when this daemon last lent in the place of a holder that it takes for lost.
	stood units.Instant
	// asked is when another daemon last borrowed.
	asked units.Instant
	// checked is when the daemon that would stand in was last asked whether it does.
	checked units.Instant
	// yieldUntil is set while another daemon stands in for this one.
	yieldUntil units.Instant
	// aloofUntil is set while others can't reach this daemon and use their own parts.
	aloofUntil units.Instant
}

// Lend answers another daemon. One that holds the account itself lends; another one asks
// the holder, as far as it can reach it, so that daemons with different views of the fleet
// don't borrow from two.
func (q *Quota) Lend(ctx context.Context, b link.Borrow) link.Lent {
	if b.Check {
		return link.Lent{Known: true, Standby: q.standsIn(b.Account), NoAnswer: q.isSilent(b.Leader)}
	}
	q.noteAsked(b.Account)
	if lent, ok := q.pass(ctx, b); ok {
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
	lent := link.Lent{Count: q.lend(a, b.Count, now), Known: true}
	if b.StandbyHops == 0 {
		q.noteStood(a.ID, now)
	}
	return lent
}

// pass asks the holder for another daemon; it is false when this one has to lend.
func (q *Quota) pass(ctx context.Context, b link.Borrow) (link.Lent, bool) {
	own := q.Common.Mesh.Sockets.Known()
	holder := b.Leader
	if holder == "" || (holder == own && q.leaves(b.Account)) {
		holder = q.holder(b.Account)
	}
	instead := b.StandbyHops > 0
	if holder == own || (instead && (b.StandbyHops > 1 || !q.leaves(b.Account))) {
		return link.Lent{}, false
	}
	question := q.question(b.Account, b.Count, holder)
	if instead {
		question = link.Borrow{Account: b.Account, Count: b.Count, StandbyHops: b.StandbyHops + 1}
	}
	lent, err := q.ask(ctx, holder, question, passTimeout)
	if err == nil {
		return lent, true
	}
	if b.Leader != "" {
		return link.Lent{}, true
	}
	q.doubt(holder, err)
	return link.Lent{}, false
}

// lend takes up to count requests from the account's bucket.
func (q *Quota) lend(a policy.Account, count int, now units.Instant) int {
	part := q.part(a.ID, now)
	standsIn := q.first(a.ID, anyone) != q.roll.Own().Address
	_, again := q.roll.Previous()
	share := primeShare
	if standsIn || again {
		share = againShare
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.account(a, part, min(share, part), now)
	if standsIn && now.Sub(h.lent) > idleTime {
		h.forfeit(now, share)
	}
	if h.yieldUntil > 0 && !now.Before(h.yieldUntil) {
		h.yieldUntil = 0
		h.forfeit(now, againShare)
	}
	h.lent = now
	if !standsIn && h.checkDue(now) {
		h.checked = now
		go q.check(a.ID)
	}
	n := 0
	for n < count && h.bucket.Consume(now, units.Token) {
		n++
	}
	return n
}

// account returns what this daemon keeps of an account, with the part of its limits that it
// may lend now. A new bucket begins with a share of the burst. The caller holds the lock.
func (q *Quota) account(a policy.Account, part, share float64, now units.Instant) *account {
	rate := units.Rate(float64(a.Rate) * part)
	h, ok := q.held[a.ID]
	if !ok {
		h = &account{bucket: bucket.Bucket{Rate: rate, Burst: a.Burst}}
		h.bucket.SetBalance(now, max(units.Tokens(share*float64(a.Burst)), units.Token))
		q.held[a.ID] = h
	}
	if h.bucket.Rate != rate || h.bucket.Burst != a.Burst {
		h.bucket.Resize(now, rate, a.Burst)
	}
	return h
}

// forfeit leaves at most a share of the burst of what gathered in the bucket while another
// daemon lent.
func (h *account) forfeit(now units.Instant, share float64) {
	h.bucket.SetBalance(now, min(h.bucket.Balance(now), units.Tokens(share*float64(h.bucket.Burst))))
}
