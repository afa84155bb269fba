package quota

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/units"
)

// aloneTime is for how long a daemon that can't be reached is reckoned to use its own
// part of the limits. One that does not come back by then has been lost.
const aloneTime = 20 * time.Second

// unreadPart is the part of a limit that a daemon lends before it has heard who else there
// is, from the store or from another daemon. The users' deployments have 27 daemons and
// more; a few may start at once.
const unreadPart = 0.1

// holder returns the address of the daemon that holds the account. A daemon that ends
// counts for the others as gone as soon as they learn of it, so it holds nothing itself.
func (q *Quota) holder(id ids.Account) ids.Address {
	now := q.Common.Clock.Now()
	own := q.roll.Own().Address
	leaves := q.leaves(id)
	return q.first(id, func(a ids.Address) bool {
		if a == own {
			return !leaves
		}
		return !q.lost(a, now)
	})
}

// leaves reports whether this daemon does not lend, whoever takes it for the holder.
func (q *Quota) leaves(id ids.Account) bool {
	return q.roll.Own().Stopping || q.yields(id, q.Common.Clock.Now())
}

func (q *Quota) yields(id ids.Account, now units.Instant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[id]
	return ok && now.Before(h.yieldUntil)
}

// question returns what this daemon asks a holder. One that others may still take for the
// holder asks for loans in its place.
func (q *Quota) question(id ids.Account, count int, holder ids.Address) link.Borrow {
	if q.leaves(id) && q.first(id, anyone) == q.roll.Own().Address {
		return link.Borrow{Account: id, Count: count, StandbyHops: 1}
	}
	return link.Borrow{Account: id, Count: count, Leader: holder}
}

func anyone(ids.Address) bool { return true }

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
	thing := rendezvous.HashKey(string(id))
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
	if _, doubted := q.reachable.SuspectedFor(a, now); !doubted {
		delete(q.silent, a)
		return false
	}
	return now.Sub(since) > lostAfter
}

// part returns the part of an account's limit that this daemon may lend.
func (q *Quota) part(id ids.Account, now units.Instant) float64 {
	if !q.roll.Loaded() && len(q.roll.All()) == 1 {
		return unreadPart
	}
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
	for _, a := range q.reachable.SuspectedWithin(aloneTime, now) {
		if q.roll.Contains(a) {
			out++
		}
	}
	return float64(max(all-out, 1)) / float64(max(all, 1))
}
