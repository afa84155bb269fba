package guard

import (
	"context"
	"slices"

	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// HandleBegin answers a GuardBegin of another daemon.
func (g *Guard) HandleBegin(ctx context.Context, m message.GuardBegin) message.GuardBegan {
	return beganOf(g.Decide(ctx, m))
}

// HandleLook answers a new guard. From now on this daemon takes part in no grant under
// a roster older than the asker's.
func (g *Guard) HandleLook(m message.GuardLookup) message.GuardLookupReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Common.Clock.Now()
	g.floor = max(g.floor, m.Version)
	_, incarnation := g.standing.Self()
	note, found := g.book.Find(now, m.Key)
	rest, reaches := g.uncovered(now, m.Key, g.pairs(m.Key))
	complete := !found && reaches && len(rest) == 0 && g.sees(m.Version)
	return message.GuardLookupReply{Incarnation: incarnation, Found: found, Note: note, Complete: complete}
}

// sees reports whether the newest roster that this daemon acts on is the asker's,
// so that its memory of rosters has no gap before it.
func (g *Guard) sees(version ids.Offset) bool {
	return g.standing.Confirmed() && g.standing.Roster().Version == version
}

// HandleCopy keeps a note for the guard under the roster that this daemon acts on.
// It takes notes from that guard only.
func (g *Guard) HandleCopy(from ids.Daemon, m message.GuardCopy) message.GuardCopied {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Common.Clock.Now()
	r, ok := g.seat(now)
	self, _ := g.standing.Self()
	to := pair(m.Key, r)
	if !ok || len(to) < 2 || !stays(m.Key, r) || to[0] != from || to[1] != self || r.Version != m.Version || g.floor != m.Version {
		return message.GuardCopied{}
	}
	old, kept := g.book.PutCopy(now, m.Key, m.Note)
	g.Common.Invariant.Check(g.book.Consistent(), "one note for each idempotency key")
	return message.GuardCopied{Kept: kept, Found: old.Digest != "", Note: old}
}

// stays reports whether the rosters that were read, but are not in force, leave
// the key to the same pair.
func stays(key idempotency.Key, r roster.Roster) bool {
	current := entries(r, pair(key, r))
	for _, one := range r.Next {
		if !slices.Equal(current, entries(one, pair(key, one))) {
			return false
		}
	}
	return true
}

// HandleEnd notes how an attempt ended and tells the second daemon.
func (g *Guard) HandleEnd(ctx context.Context, from ids.Daemon, m message.GuardEnd) message.GuardEnded {
	to := pair(m.Key, g.standing.Roster())
	if m.Forwarded && (len(to) == 0 || to[0] != from) {
		return message.GuardEnded{}
	}
	g.mu.Lock()
	if m.Answer == nil {
		g.book.Cancel(m.Key, m.Attempt)
	} else {
		g.book.Finish(g.Common.Clock.Now(), m.Key, m.Attempt, m.Answer)
	}
	g.mu.Unlock()
	self, _ := g.standing.Self()
	if !m.Forwarded && len(to) > 1 && to[1] != self {
		m.Forwarded = true
		_, _ = g.call(ctx, to[1], m)
	}
	return message.GuardEnded{}
}

func beganOf(o idempotency.Outcome) message.GuardBegan {
	switch o := o.(type) {
	case idempotency.Granted:
		return message.GuardBegan{State: message.GuardFresh}
	case idempotency.Completed:
		return message.GuardBegan{State: message.GuardKnown, Answer: o.Answer}
	case idempotency.Running:
		return message.GuardBegan{State: message.GuardRunning}
	case idempotency.Mismatch:
		return message.GuardBegan{State: message.GuardMismatch}
	case idempotency.Refused:
		return message.GuardBegan{State: message.GuardRefused, Reason: o.Reason}
	default:
		return message.GuardBegan{State: message.GuardRefused}
	}
}

func outcomeOf(m message.GuardBegan) idempotency.Outcome {
	switch m.State {
	case message.GuardFresh:
		return idempotency.Granted{}
	case message.GuardKnown:
		return idempotency.Completed{Answer: m.Answer}
	case message.GuardRunning:
		return idempotency.Running{}
	case message.GuardMismatch:
		return idempotency.Mismatch{}
	default:
		return idempotency.Refused{Reason: m.Reason}
	}
}
