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

// Decide returns whether an attempt may run for a key whose guard is this daemon. It
// blocks while it queries other daemons.
func (g *Guard) Decide(ctx context.Context, m message.GuardBegin) idempotency.Outcome {
	g.mu.Lock()
	now := g.Common.Clock.Now()
	r, ok := g.observeRoster(now)
	self, _ := g.lease.Self()
	holders := pair(m.Key, r)
	if !ok || len(holders) == 0 || holders[0] != self {
		g.mu.Unlock()
		return idempotency.Refused{Reason: "the guard of the idempotency key has changed"}
	}
	g.lastRecordNumber++
	record := idempotency.Record{Digest: m.Digest, Attempt: m.Attempt, Version: r.Version, Number: g.lastRecordNumber}
	outcome := g.store.Begin(now, m.Key, record)
	g.Common.Invariant.Check(g.store.Consistent(), "one note for each idempotency key")
	p := g.findPairs(m.Key)
	uncovered, historyComplete := g.uncoveredRosters(now, m.Key, p)
	settled := g.settled(now, m.Key, r, p)
	g.mu.Unlock()
	if _, ok := outcome.(idempotency.Granted); !ok {
		return outcome
	}
	if !settled {
		return g.refuse(m, "the guard of the idempotency key has just changed")
	}
	return g.checkAndCopy(ctx, m, r, record, uncovered, historyComplete, p)
}

// checkAndCopy queries the daemons that guarded the key before and sends the copy to
// the second daemon. The attempt is already recorded, so that a repeated request does
// not run meanwhile.
func (g *Guard) checkAndCopy(ctx context.Context, m message.GuardBegin, r roster.Roster, record idempotency.Record, uncovered []roster.Roster, historyComplete bool, p pairs) idempotency.Outcome {
	holders := p.of(m.Key, r)
	if !historyComplete || len(uncovered) > 0 {
		earlier, found, certain := g.lookUp(ctx, m.Key, r, holders, uncovered, historyComplete, p)
		if found {
			return g.adopt(m, earlier)
		}
		if !certain {
			return g.refuse(m, "it can't be known whether the idempotency key was used")
		}
	}
	if len(holders) > 1 {
		copied := g.sendCopy(ctx, m.Key, record, holders[1])
		if copied.Found {
			return g.adopt(m, copied.Record)
		}
		if !copied.Kept {
			return g.refuse(m, "the second guard of the idempotency key does not answer")
		}
	}
	return g.grant(m, r)
}

// grant lets the attempt run if this daemon is still the guard under the same roster
// and still has the attempt's record.
func (g *Guard) grant(m message.GuardBegin, r roster.Roster) idempotency.Outcome {
	g.mu.Lock()
	now := g.Common.Clock.Now()
	_, ok := g.observeRoster(now)
	ok = ok && g.minVersion == r.Version
	record, found := g.store.Find(now, m.Key)
	ok = ok && found && record.Attempt == m.Attempt
	g.mu.Unlock()
	if !ok {
		return g.refuse(m, "the guard of the idempotency key has changed")
	}
	return idempotency.Granted{}
}

// refuse removes the attempt's record, so that a repeated request may run.
func (g *Guard) refuse(m message.GuardBegin, reason string) idempotency.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.Cancel(m.Key, m.Attempt)
	return idempotency.Refused{Reason: reason}
}

// adopt replaces the attempt's record by an earlier guard's and returns the outcome
// under that record.
func (g *Guard) adopt(m message.GuardBegin, record idempotency.Record) idempotency.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.store.Put(g.Common.Clock.Now(), m.Key, record) {
		return idempotency.Refused{Reason: "too many idempotency keys are in use"}
	}
	return record.Outcome(m.Digest)
}

// settled reports whether the key has had its pair for at least settleTime, so that
// no confirmed daemon can have missed the rosters that chose the pair.
func (g *Guard) settled(now units.Instant, key idempotency.Key, r roster.Roster, p pairs) bool {
	current := pairEntries(r, p.of(key, r))
	since, ok := g.history.HeldSince(func(other roster.Roster) bool {
		return slices.Equal(current, pairEntries(other, p.of(key, other)))
	})
	return ok && now.Sub(since) >= settleTime
}

// pairEntries returns the roster entries of a pair. They are compared to find out
// whether the daemons or their incarnations differ, so Witness is cleared.
func pairEntries(r roster.Roster, holders []ids.Daemon) []roster.Entry {
	var list []roster.Entry
	for _, d := range holders {
		e, _ := r.Find(d)
		e.Witness = false
		list = append(list, e)
	}
	return list
}

// uncoveredRosters returns the rosters of the window under which this incarnation of
// the daemon was not one of the key's pair. It returns false when this daemon may not
// know all rosters of the window.
func (g *Guard) uncoveredRosters(now units.Instant, key idempotency.Key, p pairs) ([]roster.Roster, bool) {
	all, historyComplete := g.activeRosters(now)
	self, incarnation := g.lease.Self()
	var uncovered []roster.Roster
	for _, r := range all {
		if !covers(r, p.of(key, r), self, incarnation) {
			uncovered = append(uncovered, r)
		}
	}
	return uncovered, historyComplete
}

// covers reports whether an incarnation of a daemon is one of the pair under a roster,
// and so had every record of the key that was made under it.
func covers(r roster.Roster, holders []ids.Daemon, d ids.Daemon, incarnation ids.Incarnation) bool {
	for _, one := range holders {
		if e, ok := r.Find(one); ok && one == d && e.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// lookupReply is one daemon's reply to a GuardLookup. It is ok unless the call failed.
type lookupReply struct {
	from  ids.Daemon
	reply message.GuardLookupReply
	ok    bool
}

// lookUp queries the daemons that may have an earlier record of the key. It returns
// the record, whether one was found, and if none was, whether it is certain that there
// is none.
func (g *Guard) lookUp(ctx context.Context, key idempotency.Key, r roster.Roster, holders []ids.Daemon, uncovered []roster.Roster, historyComplete bool, p pairs) (idempotency.Record, bool, bool) {
	replies := g.lookUpAll(ctx, message.GuardLookup{Key: key, Version: r.Version}, g.otherDaemons(key, holders, uncovered, p))
	complete := false
	for _, l := range replies {
		if l.ok && l.reply.Found {
			return l.reply.Record, true, true
		}
		complete = complete || (l.ok && l.reply.Complete)
	}
	return idempotency.Record{}, false, complete || (historyComplete && coveredBy(key, uncovered, replies, p))
}

// coveredBy reports whether at least one daemon of the key's pair under each of the
// rosters has replied.
func coveredBy(key idempotency.Key, uncovered []roster.Roster, replies []lookupReply, p pairs) bool {
	for _, r := range uncovered {
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

// otherDaemons returns the daemons of the key's pairs but this one, each of them once.
func (g *Guard) otherDaemons(key idempotency.Key, holders []ids.Daemon, uncovered []roster.Roster, p pairs) []ids.Daemon {
	self, _ := g.lease.Self()
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
	add(holders)
	for _, r := range uncovered {
		add(p.of(key, r))
	}
	return list
}

func (g *Guard) lookUpAll(ctx context.Context, m message.GuardLookup, daemons []ids.Daemon) []lookupReply {
	replies := make([]lookupReply, len(daemons))
	var all sync.WaitGroup
	for i, d := range daemons {
		all.Go(func() {
			reply, err := g.call(ctx, d, m)
			l, ok := reply.(message.GuardLookupReply)
			replies[i] = lookupReply{from: d, reply: l, ok: ok && err == nil}
		})
	}
	all.Wait()
	return replies
}

// sendCopy sends the record to the second daemon of the key. The reply is empty when
// the daemon does not answer.
func (g *Guard) sendCopy(ctx context.Context, key idempotency.Key, record idempotency.Record, to ids.Daemon) message.GuardCopied {
	reply, err := g.call(ctx, to, message.GuardCopy{Key: key, Record: record, Version: record.Version})
	copied, ok := reply.(message.GuardCopied)
	if err != nil || !ok {
		return message.GuardCopied{}
	}
	return copied
}
