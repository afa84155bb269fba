package guard

import (
	"context"
	"slices"
	"sync"

	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Decide answers for a key that this daemon guards.
func (g *Guard) Decide(ctx context.Context, m message.GuardBegin) idempotency.Outcome {
	g.mu.Lock()
	now := g.Common.Clock.Now()
	r, ok := g.seat(now)
	self, _ := g.standing.Self()
	to := pair(m.Key, r)
	if !ok || len(to) == 0 || to[0] != self {
		g.mu.Unlock()
		return idempotency.Refused{Reason: "the guard of the idempotency key has changed"}
	}
	g.made++
	fresh := idempotency.Record{Digest: m.Digest, Attempt: m.Attempt, Version: r.Version, Number: g.made}
	outcome := g.book.Begin(now, m.Key, fresh)
	g.Common.Invariant.Check(g.book.Consistent(), "one note for each idempotency key")
	p := g.pairs(m.Key)
	ask, reaches := g.uncovered(now, m.Key, p)
	steady := g.steady(now, m.Key, r, p)
	g.mu.Unlock()
	if _, ok := outcome.(idempotency.Granted); !ok {
		return outcome
	}
	if !steady {
		return g.refuse(m, "the guard of the idempotency key has just changed")
	}
	return g.settle(ctx, m, r, fresh, ask, reaches, p)
}

// settle asks the daemons that guarded the key before and makes the copy. The
// attempt is noted already, so that a repeat meanwhile does not run.
func (g *Guard) settle(ctx context.Context, m message.GuardBegin, r roster.Roster, fresh idempotency.Record, ask []roster.Roster, reaches bool, p pairs) idempotency.Outcome {
	to := p.of(m.Key, r)
	if !reaches || len(ask) > 0 {
		note, found, known := g.look(ctx, m.Key, r, to, ask, reaches, p)
		if found {
			return g.adopt(m, note)
		}
		if !known {
			return g.refuse(m, "it can't be known whether the idempotency key was used")
		}
	}
	if len(to) > 1 {
		copied := g.copy(ctx, m.Key, fresh, to[1])
		if copied.Found {
			return g.adopt(m, copied.Note)
		}
		if !copied.Kept {
			return g.refuse(m, "the second guard of the idempotency key does not answer")
		}
	}
	return g.grant(m, r)
}

// grant lets the attempt run if this daemon is still the guard under the roster.
func (g *Guard) grant(m message.GuardBegin, r roster.Roster) idempotency.Outcome {
	g.mu.Lock()
	now := g.Common.Clock.Now()
	_, ok := g.seat(now)
	ok = ok && g.floor == r.Version
	note, found := g.book.Find(now, m.Key)
	ok = ok && found && note.Attempt == m.Attempt
	g.mu.Unlock()
	if !ok {
		return g.refuse(m, "the guard of the idempotency key has changed")
	}
	return idempotency.Granted{}
}

func (g *Guard) refuse(m message.GuardBegin, reason string) idempotency.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Cancel(m.Key, m.Attempt)
	return idempotency.Refused{Reason: reason}
}

// adopt takes over an earlier guard's note.
func (g *Guard) adopt(m message.GuardBegin, n idempotency.Record) idempotency.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.book.Put(g.Common.Clock.Now(), m.Key, n) {
		return idempotency.Refused{Reason: "too many idempotency keys are in use"}
	}
	return n.Outcome(m.Digest)
}

// steady reports whether the key has had this pair for so long that no daemon can
// have missed the rosters that gave it to the pair.
func (g *Guard) steady(now units.Instant, key idempotency.Key, r roster.Roster, p pairs) bool {
	current := entries(r, p.of(key, r))
	since, ok := g.tenure.HeldSince(func(other roster.Roster) bool {
		return slices.Equal(current, entries(other, p.of(key, other)))
	})
	return ok && now.Sub(since) >= steadyTime
}

// entries returns the runs of the daemons of a pair.
func entries(r roster.Roster, to []ids.Daemon) []roster.Entry {
	var list []roster.Entry
	for _, d := range to {
		e, _ := r.Find(d)
		e.Witness = false
		list = append(list, e)
	}
	return list
}

// uncovered returns the rosters of the window under which this run of the daemon
// was not one of the key's pair. It is false when this daemon does not know all
// rosters of the window.
func (g *Guard) uncovered(now units.Instant, key idempotency.Key, p pairs) ([]roster.Roster, bool) {
	all, reaches := g.history(now)
	self, incarnation := g.standing.Self()
	var rest []roster.Roster
	for _, r := range all {
		if !covers(r, p.of(key, r), self, incarnation) {
			rest = append(rest, r)
		}
	}
	return rest, reaches
}

// covers reports whether a run of a daemon had every note of the key under a roster.
func covers(r roster.Roster, to []ids.Daemon, d ids.Daemon, incarnation ids.Incarnation) bool {
	for _, one := range to {
		if e, ok := r.Find(one); ok && one == d && e.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// looked is one daemon's answer to a look.
type looked struct {
	from  ids.Daemon
	reply message.GuardLookupReply
	ok    bool
}

// look asks the daemons that may have a note. It returns the note, and whether it
// is certain that there is none.
func (g *Guard) look(ctx context.Context, key idempotency.Key, r roster.Roster, to []ids.Daemon, ask []roster.Roster, reaches bool, p pairs) (idempotency.Record, bool, bool) {
	replies := g.lookAll(ctx, message.GuardLookup{Key: key, Version: r.Version}, g.former(key, to, ask, p))
	complete := false
	for _, l := range replies {
		if l.ok && l.reply.Found {
			return l.reply.Note, true, true
		}
		complete = complete || (l.ok && l.reply.Complete)
	}
	return idempotency.Record{}, false, complete || (reaches && coveredBy(key, ask, replies, p))
}

// coveredBy reports whether one of each roster's pair has answered.
func coveredBy(key idempotency.Key, ask []roster.Roster, replies []looked, p pairs) bool {
	for _, r := range ask {
		ok := false
		for _, l := range replies {
			ok = ok || (l.ok && covers(r, p.of(key, r), l.from, l.reply.Incarnation))
		}
		if !ok {
			return false
		}
	}
	return true
}

// former lists the other daemons of the key's pairs.
func (g *Guard) former(key idempotency.Key, to []ids.Daemon, ask []roster.Roster, p pairs) []ids.Daemon {
	self, _ := g.standing.Self()
	seen := map[ids.Daemon]bool{self: true}
	var list []ids.Daemon
	add := func(daemons []ids.Daemon) {
		for _, d := range daemons {
			if !seen[d] {
				seen[d] = true
				list = append(list, d)
			}
		}
	}
	add(to)
	for _, r := range ask {
		add(p.of(key, r))
	}
	return list
}

func (g *Guard) lookAll(ctx context.Context, m message.GuardLookup, daemons []ids.Daemon) []looked {
	replies := make([]looked, len(daemons))
	var all sync.WaitGroup
	for i, d := range daemons {
		all.Go(func() {
			reply, err := g.call(ctx, d, m)
			l, ok := reply.(message.GuardLookupReply)
			replies[i] = looked{from: d, reply: l, ok: ok && err == nil}
		})
	}
	all.Wait()
	return replies
}

// copy hands the note to the second daemon.
func (g *Guard) copy(ctx context.Context, key idempotency.Key, n idempotency.Record, to ids.Daemon) message.GuardCopied {
	reply, err := g.call(ctx, to, message.GuardCopy{Key: key, Note: n, Version: n.Version})
	copied, ok := reply.(message.GuardCopied)
	if err != nil || !ok {
		return message.GuardCopied{}
	}
	return copied
}
