package guard

import (
	"context"
	"slices"

	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// HandleBegin decides on an attempt that another daemon has begun.
func (g *Guard) HandleBegin(ctx context.Context, m message.GuardBegin) message.GuardBegan {
	return encodeOutcome(g.Decide(ctx, m))
}

// HandleLookup answers a new guard that looks for an earlier record of a key. From then
// on, this daemon takes part in no grant under a roster older than the new guard's.
func (g *Guard) HandleLookup(m message.GuardLookup) message.GuardLookupReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Common.Clock.Now()
	g.minVersion = max(g.minVersion, m.Version)
	_, incarnation := g.lease.Self()
	record, found := g.store.Find(now, m.Key)
	uncovered, historyComplete := g.uncoveredRosters(now, m.Key, g.findPairs(m.Key))
	complete := !found && historyComplete && len(uncovered) == 0 && g.isCurrent(m.Version)
	return message.GuardLookupReply{Incarnation: incarnation, Found: found, Record: record, Complete: complete}
}

// isCurrent reports whether this daemon is confirmed and acts on the roster of this
// version, so that its roster history has no gap before that roster.
func (g *Guard) isCurrent(version ids.Offset) bool {
	return g.lease.Confirmed() && g.lease.Roster().Version == version
}

// HandleCopy stores the copy of a record. It accepts records only from the key's guard
// under the roster that this daemon acts on.
func (g *Guard) HandleCopy(from ids.Daemon, m message.GuardCopy) message.GuardCopied {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Common.Clock.Now()
	r, ok := g.observeRoster(now)
	self, _ := g.lease.Self()
	holders := pair(m.Key, r)
	if !ok || len(holders) < 2 || !newerRostersKeepPair(m.Key, r) || holders[0] != from || holders[1] != self || r.Version != m.Version || g.minVersion != m.Version {
		return message.GuardCopied{}
	}
	existing, stored := g.store.PutCopy(now, m.Key, m.Record)
	g.Common.Invariant.Check(g.store.Consistent(), "one note for each idempotency key")
	return message.GuardCopied{Kept: stored, Found: existing.Digest != "", Record: existing}
}

// newerRostersKeepPair reports whether the key has the same pair under the rosters
// that were read but are not in force yet.
func newerRostersKeepPair(key idempotency.Key, r roster.Roster) bool {
	current := pairEntries(r, pair(key, r))
	for _, one := range r.Next {
		if !slices.Equal(current, pairEntries(one, pair(key, one))) {
			return false
		}
	}
	return true
}

// HandleEnd records how an attempt ended. Unless the message was forwarded by the
// guard, it is forwarded to the daemon with the copy. A forwarded message is ignored
// if it isn't from the guard.
func (g *Guard) HandleEnd(ctx context.Context, from ids.Daemon, m message.GuardEnd) message.GuardEnded {
	holders := pair(m.Key, g.lease.Roster())
	if m.Forwarded && (len(holders) == 0 || holders[0] != from) {
		return message.GuardEnded{}
	}
	g.mu.Lock()
	if m.Answer == nil {
		g.store.Cancel(m.Key, m.Attempt)
	} else {
		g.store.Finish(g.Common.Clock.Now(), m.Key, m.Attempt, m.Answer)
	}
	g.mu.Unlock()
	self, _ := g.lease.Self()
	if !m.Forwarded && len(holders) > 1 && holders[1] != self {
		m.Forwarded = true
		_, _ = g.call(ctx, holders[1], m)
	}
	return message.GuardEnded{}
}

func encodeOutcome(o idempotency.Outcome) message.GuardBegan {
	switch o := o.(type) {
	case idempotency.Granted:
		return message.GuardBegan{State: message.GuardGranted}
	case idempotency.Completed:
		return message.GuardBegan{State: message.GuardCompleted, Answer: o.Answer}
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

func decodeOutcome(m message.GuardBegan) idempotency.Outcome {
	switch m.State {
	case message.GuardGranted:
		return idempotency.Granted{}
	case message.GuardCompleted:
		return idempotency.Completed{Answer: m.Answer}
	case message.GuardRunning:
		return idempotency.Running{}
	case message.GuardMismatch:
		return idempotency.Mismatch{}
	default:
		return idempotency.Refused{Reason: m.Reason}
	}
}
