package quota

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/units"
)

// fallbackPeriod is for how long a daemon that can't be reached is assumed to use its fallback
// shares. One that does not return within it has been lost.
const fallbackPeriod = 20 * time.Second

// unloadedFraction is the fraction of a limit that a daemon lends before it knows the other
// daemons, from the store or from another daemon. The users' deployments have 27 or more
// daemons, and a few of them may start at once.
const unloadedFraction = 0.1

// leader returns the address of the account's quota leader. A daemon that stops leads no
// account, since other daemons exclude it as soon as they learn of the stop.
func (q *Quota) leader(id ids.Account) ids.Address {
	now := q.Common.Clock.Now()
	own := q.registry.Own().Address
	declines := q.declinesToLend(id)
	return q.highestRanked(id, func(a ids.Address) bool {
		if a == own {
			return !declines
		}
		return !q.isLost(a, now)
	})
}

// declinesToLend reports whether this daemon does not lend, even to daemons that regard it as
// the leader.
func (q *Quota) declinesToLend(id ids.Account) bool {
	return q.registry.Own().Stopping || q.hasYielded(id, q.Common.Clock.Now())
}

func (q *Quota) hasYielded(id ids.Account, now units.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[id]
	return ok && now.Before(h.yieldUntil)
}

// newBorrow returns the message for a leader. If others may still regard this daemon as the
// leader, the message asks the receiver to lend in its place.
func (q *Quota) newBorrow(id ids.Account, count int, leader ids.Address) link.Borrow {
	if q.declinesToLend(id) && q.highestRanked(id, anyDaemon) == q.registry.Own().Address {
		return link.Borrow{Account: id, Count: count, StandbyHops: 1}
	}
	return link.Borrow{Account: id, Count: count, Leader: leader}
}

func anyDaemon(ids.Address) bool { return true }

// highestRanked returns the daemon with the highest weight for the account among those that
// qualify, or this daemon if none does.
func (q *Quota) highestRanked(id ids.Account, qualifies func(ids.Address) bool) ids.Address {
	top := q.ranking.top(q.registry, id)
	for _, a := range top {
		if qualifies(a) {
			return a
		}
	}
	best, weight := q.registry.Own().Address, uint64(0)
	if len(top) < rankedCount {
		return best
	}
	keyHash := rendezvous.HashKey(string(id))
	for _, r := range q.registry.All() {
		if w := keyHash.Weight(ids.Daemon(r.Address)); w >= weight && qualifies(r.Address) {
			best, weight = r.Address, w
		}
	}
	return best
}

// isLost reports whether the daemon has not answered for so long that it can't be a leader.
func (q *Quota) isLost(a ids.Address, now units.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	since, ok := q.unresponsiveSince[a]
	if !ok {
		return false
	}
	if _, suspected := q.reachable.SuspectedFor(a, now); !suspected {
		delete(q.unresponsiveSince, a)
		return false
	}
	return now.Sub(since) > failoverAfter
}

// lendableFraction returns the fraction of an account's limit that this daemon may lend.
func (q *Quota) lendableFraction(id ids.Account, now units.Instant) float64 {
	if !q.registry.Loaded() && len(q.registry.All()) == 1 {
		return unloadedFraction
	}
	q.mu.Lock()
	h, ok := q.led[id]
	restricted := ok && now.Before(h.restrictedUntil)
	q.mu.Unlock()
	if restricted {
		return 1 / float64(max(len(q.registry.All()), 1))
	}
	return q.reachableFraction(now)
}

// reachableFraction returns the fraction of the fleet that this daemon can reach. The other
// daemons use their fallback shares of the limits, which a leader must not lend as well.
func (q *Quota) reachableFraction(now units.Instant) float64 {
	all, known := len(q.registry.All()), 0
	for _, a := range q.reachable.SuspectedWithin(fallbackPeriod, now) {
		if q.registry.Contains(a) {
			known++
		}
	}
	unreachable := math.Max(float64(known), q.estimated(now))
	return math.Max(float64(all)-unreachable, 1) / float64(max(all, 1))
}
