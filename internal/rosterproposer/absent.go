package rosterproposer

import (
	"context"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// absentDelay is how long a member may be unreachable before it is removed from
	// the roster.
	absentDelay = time.Minute
	// maxJoins bounds the members that one record adds, because each of them is
	// queried first.
	maxJoins      = 100
	answerTimeout = 800 * time.Millisecond
)

// absenceTracker holds since when members are unreachable. The zero value holds
// none.
type absenceTracker struct {
	since map[ids.Daemon]units.Instant
}

// update records which members are unreachable now.
func (t *absenceTracker) update(unreachable []member.Member, now units.Instant) {
	since := map[ids.Daemon]units.Instant{}
	for _, m := range unreachable {
		since[m.Daemon] = now
		if known, ok := t.since[m.Daemon]; ok {
			since[m.Daemon] = known
		}
	}
	t.since = since
}

// absent reports whether a member has been unreachable for absentDelay.
func (t *absenceTracker) absent(id ids.Daemon, now units.Instant) bool {
	since, known := t.since[id]
	return known && now.Sub(since) >= absentDelay
}

// stable reports whether no further member becomes absent just because time passes.
func (t *absenceTracker) stable(now units.Instant) bool {
	for id := range t.since {
		if !t.absent(id, now) {
			return false
		}
	}
	return true
}

// probe queries some daemons concurrently and returns those that answer. It blocks
// until all have answered or answerTimeout is over.
func (p *Proposer) probe(ctx context.Context, daemons []ids.Daemon) map[ids.Daemon]bool {
	ctx, cancel := p.Common.Clock.WithTimeout(ctx, answerTimeout)
	defer cancel()
	self, _ := p.confirm.Self()
	answered := map[ids.Daemon]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, to := range daemons {
		wg.Go(func() {
			ok := to == self
			if !ok {
				_, err := p.peers.Call(ctx, to, message.LeaseQuery{})
				ok = err == nil
			}
			mu.Lock()
			defer mu.Unlock()
			answered[to] = ok
		})
	}
	wg.Wait()
	return answered
}

// dropUnreachableJoins returns the live members without those that would join the
// roster but do not answer now.
func (p *Proposer) dropUnreachableJoins(ctx context.Context, r roster.Roster, live []member.Member) []member.Member {
	var joins []ids.Daemon
	for _, m := range live {
		if _, ok := r.FindIncarnation(m.Daemon, m.Incarnation); !ok && len(joins) < maxJoins {
			joins = append(joins, m.Daemon)
		}
	}
	answered := p.probe(ctx, joins)
	var rest []member.Member
	for _, m := range live {
		if _, ok := r.FindIncarnation(m.Daemon, m.Incarnation); ok || answered[m.Daemon] {
			rest = append(rest, m)
		}
	}
	return rest
}
