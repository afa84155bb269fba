package quota

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
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
	// checkPause lies between two questions whether another daemon stands in: within the
	// time in which a holder counts as lost.
	checkPause = time.Second
	// quietAfter is how long after the last question of another daemon a holder asks whether
	// the others can't reach it: longer than such a question takes.
	quietAfter = 300 * time.Millisecond
	// quietUntil is after how long without questions a holder takes it that nobody has any.
	quietUntil = 2 * time.Second
	// aloofTime is for how long a holder that others can't reach keeps to its own part of the
	// limit: until they have another holder.
	aloofTime = lostAfter
	// yieldTime is for how long a holder leaves an account to the one that stands in.
	yieldTime = 2 * time.Second
	// aloneTime is for how long a daemon that can't be reached is reckoned to use its own
	// part of the limits. One that does not come back by then has been lost.
	aloneTime = 20 * time.Second
)

// account is what a holder keeps of one client account.
type account struct {
	bucket bucket.Bucket
	lent   units.Instant
	// standing is set while this daemon lends in the place of the holder.
	standing bool
	// asked is when another daemon last borrowed.
	asked units.Instant
	// checked is when the daemon that would stand in was last asked whether it does.
	checked units.Instant
	// yieldUntil is set while another daemon stands in for this one.
	yieldUntil units.Instant
	// aloofUntil is set while others can't reach this daemon and use their own parts.
	aloofUntil units.Instant
}

// checkDue reports whether it is time to ask if others have lost this daemon.
func (h *account) checkDue(now units.Instant) bool {
	since, quiet := now.Sub(h.checked), now.Sub(h.asked)
	return h.checked == 0 || since >= checkPause ||
		(since >= quietAfter && quiet >= quietAfter && quiet < quietUntil)
}

// holder returns the address of the daemon that holds the account. A daemon that ends
// counts for the others as gone as soon as they learn of it, so it holds nothing itself.
func (q *Quota) holder(id ids.Account) ids.Address {
	now := q.Common.Clock.Now()
	own := q.roll.Own()
	leaves := own.Stopping || q.yields(id, now)
	return q.first(id, func(a ids.Address) bool {
		if a == own.Address {
			return !leaves
		}
		return !q.lost(a, now)
	})
}

func (q *Quota) yields(id ids.Account, now units.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[id]
	return ok && now.Before(h.yieldUntil)
}

// first returns the daemon with the highest weight for the account among those that
// qualify, or this one.
func (q *Quota) first(id ids.Account, qualifies func(ids.Address) bool) ids.Address {
	top := q.ranking.top(q.roll, id)
	for _, a := range top {
		if qualifies(a) {
			return a
		}
	}
	best, weight := q.roll.Own().Address, uint64(0)
	if len(top) < ranked {
		return best
	}
	thing := rendezvous.ThingOf(string(id))
	for _, r := range q.roll.All() {
		if w := thing.Weight(ids.Daemon(r.Address)); w >= weight && qualifies(r.Address) {
			best, weight = r.Address, w
		}
	}
	return best
}

// lost reports whether the daemon has been silent for too long to be a holder.
func (q *Quota) lost(a ids.Address, now units.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	since, ok := q.silent[a]
	if !ok {
		return false
	}
	if _, doubted := q.reachable.DoubtedFor(a, now); !doubted {
		delete(q.silent, a)
		return false
	}
	return now.Sub(since) > lostAfter
}

// Lend answers another daemon. One that holds the account itself lends; another one asks
// the holder, as far as it can reach it, so that daemons with different views of the fleet
// don't borrow from two.
func (q *Quota) Lend(ctx context.Context, b link.Borrow) link.Lent {
	if b.Check {
		return link.Lent{Known: true, StandsIn: q.standsIn(b.Account), Silent: q.isSilent(b.Holder)}
	}
	q.noteAsked(b.Account)
	holder := b.Holder
	if holder == "" {
		holder = q.holder(b.Account)
	}
	if holder != q.Common.Mesh.Sockets.Known() {
		lent, err := q.ask(ctx, holder, link.Borrow{Account: b.Account, Count: b.Count, Holder: holder}, passTimeout)
		if err == nil {
			return lent
		}
		if b.Holder != "" {
			return link.Lent{}
		}
		q.doubt(holder, err)
	}
	p, ok := q.config.Policy()
	if !ok {
		return link.Lent{}
	}
	a, ok := p.AccountByID(b.Account)
	if !ok {
		return link.Lent{}
	}
	return link.Lent{Count: q.lend(a, b.Count, q.Common.Clock.Now()), Known: true}
}

// lend takes up to count requests from the account's bucket.
func (q *Quota) lend(a policy.Account, count int, now units.Instant) int {
	rate := units.Rate(float64(a.Rate) * q.part(a.ID, now))
	standsIn := q.first(a.ID, func(ids.Address) bool { return true }) != q.roll.Own().Address
	_, again := q.roll.Before()
	share := primeShare
	if standsIn || again {
		share = againShare
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[a.ID]
	if !ok {
		h = &account{bucket: bucket.Bucket{Rate: rate, Burst: a.Burst}}
		h.bucket.Prime(now, max(units.Tokens(share*float64(a.Burst)), units.Token))
		q.held[a.ID] = h
	}
	if h.bucket.Rate != rate || h.bucket.Burst != a.Burst {
		h.bucket.Resize(now, rate, a.Burst)
	}
	if standsIn && now.Sub(h.lent) > idleTime {
		h.bucket.Prime(now, min(h.bucket.Balance(now), units.Tokens(share*float64(a.Burst))))
	}
	h.lent, h.standing = now, standsIn
	if !standsIn && h.checkDue(now) {
		h.checked = now
		go q.check(a.ID)
	}
	n := 0
	for n < count && h.bucket.Take(now, units.Token) {
		n++
	}
	return n
}

// standsIn reports whether this daemon lent lately in the place of the account's holder.
func (q *Quota) standsIn(id ids.Account) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[id]
	return ok && h.standing && now.Sub(h.lent) < idleTime
}

// noteAsked notes that another daemon borrows, so it reaches this one.
func (q *Quota) noteAsked(id ids.Account) {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.held[id]; ok {
		h.asked, h.aloofUntil = now, 0
	}
}

// isSilent reports whether a daemon gave no answer lately by any way.
func (q *Quota) isSilent(a ids.Address) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, silent := q.silent[a]
	return silent && q.reachable.Doubted(a)
}

// check asks the daemon that would stand in for this one whether it does: others may have
// lost this daemon, although it reaches them. It then leaves the account to that daemon for
// a while. Until that one stands in, the others use their own parts of the limit, and so
// does this one.
func (q *Quota) check(id ids.Account) {
	now := q.Common.Clock.Now()
	own := q.roll.Own().Address
	next := q.first(id, func(a ids.Address) bool { return a != own && !q.lost(a, now) })
	if next == own {
		return
	}
	lent, err := q.ask(q.ctx, next, link.Borrow{Account: id, Check: true, Holder: own}, passTimeout)
	if err != nil || (!lent.StandsIn && !lent.Silent) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[id]
	if !ok {
		return
	}
	now = q.Common.Clock.Now()
	if lent.StandsIn {
		h.yieldUntil = now.Add(yieldTime)
		q.Common.Info(event.HolderYields, zap.String("account", string(id)), zap.String("holder", string(next)))
		return
	}
	h.aloofUntil = now.Add(aloofTime)
	q.Common.Info(event.HolderAloof, zap.String("account", string(id)), zap.String("asked", string(next)))
}

// part returns the part of an account's limit that this daemon may lend.
func (q *Quota) part(id ids.Account, now units.Instant) float64 {
	q.mu.Lock()
	h, ok := q.held[id]
	aloof := ok && now.Before(h.aloofUntil)
	q.mu.Unlock()
	if aloof {
		return 1 / float64(max(len(q.roll.All()), 1))
	}
	return q.reach(now)
}

// reach returns the part of the fleet that this daemon can reach. The others use their
// equal parts of the limits, which a holder must not lend again.
func (q *Quota) reach(now units.Instant) float64 {
	all, out := len(q.roll.All()), 0
	for _, a := range q.reachable.LostWithin(aloneTime, now) {
		if q.roll.Lists(a) {
			out++
		}
	}
	return float64(max(all-out, 1)) / float64(max(all, 1))
}
