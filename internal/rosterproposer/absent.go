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
func (w *absenceTracker) update(lost []member.Member, now units.Instant) {
	since := map[ids.Daemon]units.Instant{}
	for _, m := range lost {
		since[m.Daemon] = now
		if known, ok := w.since[m.Daemon]; ok {
			since[m.Daemon] = known
		}
	}
	w.since = since
}

// absent reports whether a member has been unreachable for absentDelay.
func (w *absenceTracker) absent(id ids.Daemon, now units.Instant) bool {
	since, known := w.since[id]
	return known && now.Sub(since) >= absentDelay
}

// stable reports whether no further member becomes absent just because time passes.
func (w *absenceTracker) stable(now units.Instant) bool {
	for id := range w.since {
		if !w.absent(id, now) {
			return false
		}
	}
	return true
}

// probe queries some daemons concurrently and returns those that answer. It blocks
// until all have answered or answerTimeout is over.
func (s *Proposer) probe(ctx context.Context, whom []ids.Daemon) map[ids.Daemon]bool {
	ctx, cancel := s.Common.Clock.Within(ctx, answerTimeout)
	defer cancel()
	self, _ := s.confirm.Self()
	answered := map[ids.Daemon]bool{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, to := range whom {
		wg.Go(func() {
			ok := to == self
			if !ok {
				_, err := s.peers.Call(ctx, to, message.Question{})
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
func (s *Proposer) dropUnreachableJoins(ctx context.Context, r roster.Roster, live []member.Member) []member.Member {
	var joins []ids.Daemon
	for _, m := range live {
		if _, ok := r.FindIncarnation(m.Daemon, m.Incarnation); !ok && len(joins) < maxJoins {
			joins = append(joins, m.Daemon)
		}
	}
	answered := s.probe(ctx, joins)
	var kept []member.Member
	for _, m := range live {
		if _, ok := r.FindIncarnation(m.Daemon, m.Incarnation); ok || answered[m.Daemon] {
			kept = append(kept, m)
		}
	}
	return kept
}
