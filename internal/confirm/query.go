package confirm

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/querier"
	"balsamwharf.example/balsamwharf/internal/readlease"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/witness"
)

const (
	// period is the time between two checks of the lease's age.
	period      = 250 * time.Millisecond
	callTimeout = 600 * time.Millisecond
	// querierRenewAge is the age of the lease at which a querier renews it. It is above
	// the duration of a waiting read of the log, so nothing is queried while the log
	// answers.
	querierRenewAge = 700 * time.Millisecond
	// otherRenewAge is the age of the lease at which the other daemons query a
	// querier.
	otherRenewAge = 1200 * time.Millisecond
	// directRenewAge is the age of the lease at which any daemon queries the
	// witnesses.
	directRenewAge = 1600 * time.Millisecond
	// directPause is the least time between two such rounds by a daemon that is no
	// querier; as much again is added at random.
	directPause = 2 * time.Second
)

// run renews the lease while reads of the log don't.
func (c *Confirm) run(ctx context.Context) {
	sub := c.Common.Clock.Every(period)
	defer sub.Stop()
	var direct units.Instant
	for {
		select {
		case now := <-sub.C:
			next := c.nextRound(now, now >= direct)
			if next.witnesses && !next.chosen {
				direct = now.Add(directPause + rand.N(directPause))
			}
			c.query(ctx, next)
		case <-ctx.Done():
			return
		}
	}
}

// round is one round of queries. If witnesses is not set, the replies only count as
// leases of the peers, not as votes.
type round struct {
	daemons   []ids.Daemon
	chosen    bool
	witnesses bool
}

// nextRound returns the daemons to query now; none while the lease is young.
func (c *Confirm) nextRound(now units.Instant, direct bool) round {
	newest, _ := c.newestRoster()
	own := c.gossip.LocalMember()
	_, e, holds := c.currentLease(now)
	queriers := querier.Of(newest, own.Centre)
	chosen := queriers.Includes(own.Daemon)
	old := func(limit time.Duration) bool { return !holds || e.Age(now) >= limit }
	switch {
	case chosen && old(querierRenewAge), direct && old(directRenewAge):
		return round{daemons: newest.Witnesses(), chosen: chosen, witnesses: true}
	case !chosen && old(otherRenewAge):
		return round{daemons: []ids.Daemon{queriers.Daemons[rand.IntN(len(queriers.Daemons))]}}
	default:
		return round{}
	}
}

// newestRoster returns the newest roster that this daemon has read, in force or
// not, and the offset of the state: the witnesses of this roster decide about the
// next record.
func (c *Confirm) newestRoster() (roster.Roster, ids.Offset) {
	var newest roster.Roster
	var position ids.Offset
	c.tail.View(func(s *replay.State) {
		position = s.Offset()
		if rosters, _ := s.Rosters(); len(rosters) > 0 {
			newest = rosters[len(rosters)-1]
		}
	})
	return newest, position
}

// query queries the daemons of a round concurrently and blocks until all have
// answered or callTimeout is over.
func (c *Confirm) query(ctx context.Context, r round) {
	if len(r.daemons) == 0 {
		return
	}
	ctx, cancel := c.Common.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	self, incarnation := c.Self()
	var mu sync.Mutex
	var quorum witness.QuorumRead
	var wg sync.WaitGroup
	for _, to := range r.daemons {
		queriedAt := c.Common.Clock.Now()
		if to == self {
			answer := c.HandleLeaseQuery()
			mu.Lock()
			c.addVote(&quorum, to, incarnation, answer, queriedAt)
			mu.Unlock()
			continue
		}
		wg.Go(func() {
			reply, err := c.peers.Call(ctx, to, message.LeaseQuery{})
			answer, ok := reply.(message.LeaseStatus)
			if err != nil || !ok {
				return
			}
			c.force.Observe(to, answer)
			if answer.Confirmed {
				c.extend(readlease.FromPeer(answer.LeaseOffset, queriedAt, answer.LeaseAge))
			}
			mu.Lock()
			defer mu.Unlock()
			c.addVote(&quorum, to, answer.Incarnation, answer, queriedAt)
		})
	}
	wg.Wait()
}

// addVote adds a witness's answer and extends the lease once a majority has
// answered. The caller holds the lock of the quorum read.
func (c *Confirm) addVote(quorum *witness.QuorumRead, from ids.Daemon, inc ids.Incarnation, answer message.LeaseStatus, queriedAt units.Instant) {
	if answer.Retired {
		return
	}
	quorum.Add(from, inc, answer.Seen, queriedAt)
	newest, position := c.newestRoster()
	if at, ok := quorum.Confirms(newest, position); ok {
		c.extend(readlease.New(position, at))
	}
}
