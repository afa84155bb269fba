package seating

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
	// watchers is how many daemons look for members that answer no more.
	watchers = 3
	// roundTime is how long a watcher takes to ask all members.
	roundTime = time.Minute
	// absentDelay is how long a member may answer nothing before it is removed.
	absentDelay = 3 * time.Minute
	// maxJoins bounds the members that one record adds, because each is asked first.
	maxJoins      = 100
	answerTimeout = 800 * time.Millisecond
)

// watch holds the members that answer no more. The zero value holds none.
type watch struct {
	next  int
	since map[ids.Daemon]units.Instant
}

// due returns the members to ask in this period.
func (w *watch) due(r roster.Roster) []ids.Daemon {
	all := r.Daemons()
	each := (len(all)*int(period) + int(roundTime) - 1) / int(roundTime)
	var due []ids.Daemon
	for range each {
		due = append(due, all[w.next%len(all)])
		w.next = (w.next + 1) % len(all)
	}
	return due
}

// note takes over which of the members asked have answered.
func (w *watch) note(asked []ids.Daemon, answered map[ids.Daemon]bool, now units.Instant) {
	if w.since == nil {
		w.since = map[ids.Daemon]units.Instant{}
	}
	for _, id := range asked {
		if answered[id] {
			delete(w.since, id)
			continue
		}
		if _, known := w.since[id]; !known {
			w.since[id] = now
		}
	}
}

// absent reports whether a member has answered nothing for too long.
func (w *watch) absent(id ids.Daemon, now units.Instant) bool {
	since, known := w.since[id]
	return known && now.Sub(since) >= absentDelay
}

// answering asks some daemons at once and returns those that answer.
func (s *Seating) answering(ctx context.Context, whom []ids.Daemon) map[ids.Daemon]bool {
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

// joining returns the live members without those that would join the roster but
// do not answer now.
func (s *Seating) joining(ctx context.Context, r roster.Roster, live []member.Member) []member.Member {
	var joins []ids.Daemon
	for _, m := range live {
		if _, ok := r.Seat(m.Daemon, m.Incarnation); !ok && len(joins) < maxJoins {
			joins = append(joins, m.Daemon)
		}
	}
	answered := s.answering(ctx, joins)
	var kept []member.Member
	for _, m := range live {
		if _, ok := r.Seat(m.Daemon, m.Incarnation); ok || answered[m.Daemon] {
			kept = append(kept, m)
		}
	}
	return kept
}
