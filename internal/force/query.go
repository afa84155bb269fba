package force

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/querier"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
)

const (
	// period is the time between two rounds of queries while a record is not known to
	// be in force.
	period      = 250 * time.Millisecond
	callTimeout = 800 * time.Millisecond
	// relayRounds is how many rounds pass between two queries to a querier.
	relayRounds = 4
	// directRounds is how many rounds pass before a daemon that is no querier queries
	// the witnesses itself.
	directRounds = 40
)

// run queries other daemons while a record that this daemon has read is not known
// to be in force.
func (f *Force) run(ctx context.Context) {
	sub := f.Common.Clock.Every(period)
	defer sub.Stop()
	for round := 1; ; round++ {
		select {
		case <-sub.C:
		case <-ctx.Done():
			return
		}
		if f.advance() {
			round = 0
			continue
		}
		f.query(ctx, f.queryTargets(round))
		f.advance()
	}
}

// queryTargets returns the daemons to query in a round.
func (f *Force) queryTargets(round int) []ids.Daemon {
	var rosters []roster.Roster
	f.tail.View(func(s *replay.State) { rosters, _ = s.Rosters() })
	if len(rosters) == 0 {
		return nil
	}
	own := f.gossip.LocalMember()
	queriers := querier.Of(rosters[len(rosters)-1], own.Centre)
	if queriers.Includes(own.Daemon) || round%directRounds == 0 {
		return pendingWitnesses(rosters, f.Newest())
	}
	if round%relayRounds != 1 {
		return nil
	}
	return []ids.Daemon{queriers.Daemons[rand.IntN(len(queriers.Daemons))]}
}

// pendingWitnesses returns the witnesses of the rosters that govern records after
// the offset.
func pendingWitnesses(rosters []roster.Roster, after ids.Offset) []ids.Daemon {
	known := map[ids.Daemon]bool{}
	var all []ids.Daemon
	for i, r := range rosters {
		if i+1 < len(rosters) && rosters[i+1].Version <= after {
			continue
		}
		for _, id := range r.Witnesses() {
			if !known[id] {
				known[id] = true
				all = append(all, id)
			}
		}
	}
	return all
}

// query queries some daemons concurrently and blocks until all answers are
// processed or callTimeout is over.
func (f *Force) query(ctx context.Context, targets []ids.Daemon) {
	ctx, cancel := f.Common.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	own := f.gossip.LocalMember().Daemon
	var wg sync.WaitGroup
	for _, to := range targets {
		if to == own {
			continue
		}
		wg.Go(func() {
			reply, err := f.peers.Call(ctx, to, message.LeaseQuery{})
			if c, ok := reply.(message.LeaseStatus); ok && err == nil {
				f.Observe(to, c)
			}
		})
	}
	wg.Wait()
}
