package quota

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// A daemon that gets no answer for a moment, over a lossy link or from a slow leader, admits by
// its fallback share while the leader goes on to lend the whole limit. So it tells the leader
// afterwards what it spent, and the leader lends that much less.

const (
	// startAllowance is for how long after the first loan of a leader others may report what they
	// spent before, while the account had no leader. Of that no more is charged than a fallback
	// share can have admitted since.
	startAllowance = failoverAfter
	// maxReported bounds what one report may charge, in requests.
	maxReported = 1 << 20
	// maxDebt is the time in which the rate pays back the largest debt of an account.
	maxDebt = 2 * time.Second
)

// spending counts what this daemon admitted by its fallback share of one account.
type spending struct {
	// leader is the quota leader that did not answer.
	leader ids.Address
	// total counts all admissions, and told is the part of it that leader knows or need not know.
	total, told int
}

// add counts one admission without the leader's answer.
func (s *spending) add(leader ids.Address) {
	s.setLeader(leader)
	s.total++
}

// setLeader forgets what an earlier leader was not told: its successor began with an allowance.
func (s *spending) setLeader(leader ids.Address) {
	if s.leader != leader {
		s.leader, s.told = leader, s.total
	}
}

// charges is what a leader knows of the fallback spending of other daemons.
type charges struct {
	// totals holds the last total of each daemon.
	totals map[ids.Address]int
	// unlent accumulates the part of the limit that the leader leaves to daemons out of reach.
	unlent    bucket.Bucket
	startedAt units.Instant
}

// start sets the time of the first loan.
func (c *charges) start(now units.Instant, a policy.Account) {
	c.startedAt = now
	c.unlent = bucket.Bucket{Burst: a.Rate.Over(maxDebt)}
}

// leave sets the rate that the leader does not lend from now on.
func (c *charges) leave(now units.Instant, rate units.Rate, a policy.Account) {
	if burst := a.Rate.Over(maxDebt); c.unlent.Rate != rate || c.unlent.Burst != burst {
		c.unlent.Resize(now, rate, burst)
	}
}

// due returns the tokens that the bucket has to pay for a reported total: what is new, less what
// the leader left to the others. share is the rate of one fallback share.
func (c *charges) due(now units.Instant, from ids.Address, total int, share units.Rate) units.Tokens {
	if c.totals == nil {
		c.totals = map[ids.Address]int{}
	}
	last := c.totals[from]
	if total < last {
		// The daemon has restarted.
		last = 0
	}
	c.totals[from] = total
	spent := units.Tokens(min(total-last, maxReported)) * units.Token
	if lending := now.Sub(c.startedAt); lending < startAllowance {
		spent = min(spent, share.Over(lending))
	}
	left := min(spent, c.unlent.Balance(now))
	c.unlent.Consume(now, left)
	return spent - left
}

// report adds this daemon's spending to a message for the leader, unless the leader knows it.
func (q *Quota) report(b link.Borrow, leader ids.Address) link.Borrow {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.borrowerOf(b.Account).spent
	if s.leader == leader && s.total > s.told {
		b.Spent, b.From = s.total, q.Common.Mesh.Sockets.AdvertisedAddress()
	}
	return b
}

// reported records that the leader answered a message with a total.
func (q *Quota) reported(b link.Borrow) {
	if b.From == "" {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.borrowerOf(b.Account).spent
	s.told = max(s.told, min(b.Spent, s.total))
}

// charge takes from the account's bucket what the sender has spent without the leader.
func (q *Quota) charge(a policy.Account, b link.Borrow, now units.Instant) {
	if b.From == "" || b.Spent <= 0 {
		return
	}
	share := units.Rate(float64(a.Rate) / float64(max(len(q.registry.All()), 1)))
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[a.ID]
	if !ok {
		return
	}
	h.bucket.Charge(now, h.charges.due(now, b.From, b.Spent, share), a.Rate.Over(maxDebt))
}
