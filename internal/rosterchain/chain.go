// Package rosterchain decides which records are in force.
//
// # Usage
//
//	var c chain.Chain
//	c.Follow(rosters, since, position)
//	c.Saw("daemon-3", incarnation, offset)
//	newest := c.Step(now)
//
// A record is in force when no daemon can be confirmed before it any more. The
// witnesses of the newest roster before the record decide: a majority has read
// it, every earlier roster is settled in the same way by the witnesses before
// it, and Settle has passed since both were known. Without witnesses no daemon
// is confirmed but by the log itself, and Settle after the reading is enough.
//
// What is in force stays in force, so daemons may tell each other. The zero
// Chain knows that nothing is in force.
package rosterchain

import (
	"cmp"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/readlease"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/witness"
)

// Settle is how long after the reading a record comes in force. It is longer
// than evidence lasts by the most that two clocks drift apart meanwhile.
const Settle = readlease.Duration + 100*time.Millisecond

// Chain follows the rosters and what their witnesses have read.
type Chain struct {
	force    ids.Offset
	rosters  []roster.Roster
	since    ids.Offset
	position ids.Offset
	seen     map[seat]ids.Offset
	waiting  []mark
}

// seat is one incarnation of a witness.
type seat struct {
	daemon      ids.Daemon
	incarnation ids.Incarnation
}

// mark is an offset that majorities had read at an instant.
type mark struct {
	at    ids.Offset
	since units.Instant
}

// ended is the offset that counts as read by an incarnation that answers no more.
const ended = ids.Offset(1<<64 - 1)

// Force returns the newest offset known to be in force.
func (c *Chain) Force() ids.Offset { return c.force }

// Follow sets the rosters, oldest first, the offset from which on none is missing
// and the offset that this daemon has read.
func (c *Chain) Follow(rosters []roster.Roster, since, position ids.Offset) {
	c.rosters, c.since, c.position = rosters, since, position
	for s := range c.seen {
		if !c.seated(s) {
			delete(c.seen, s)
		}
	}
}

func (c *Chain) seated(s seat) bool {
	return slices.ContainsFunc(c.rosters, func(r roster.Roster) bool {
		e, ok := r.FindIncarnation(s.daemon, s.incarnation)
		return ok && e.Witness
	})
}

// Saw notes that an incarnation has read up to an offset.
func (c *Chain) Saw(id ids.Daemon, inc ids.Incarnation, at ids.Offset) {
	s := seat{daemon: id, incarnation: inc}
	if at <= c.seen[s] || !c.seated(s) {
		return
	}
	if c.seen == nil {
		c.seen = map[seat]ids.Offset{}
	}
	c.seen[s] = at
}

// Lives notes that a daemon runs as an incarnation. Every earlier one has ended
// and can't confirm anything, as if it had read every record.
func (c *Chain) Lives(id ids.Daemon, inc ids.Incarnation) {
	for _, r := range c.rosters {
		if e, ok := r.Find(id); ok && e.Incarnation < inc {
			c.Saw(id, e.Incarnation, ended)
		}
	}
}

// Retires notes that an incarnation answers no more as a witness.
func (c *Chain) Retires(id ids.Daemon, inc ids.Incarnation) { c.Saw(id, inc, ended) }

// Learn takes over what another daemon knows to be in force.
func (c *Chain) Learn(at ids.Offset) { c.force = max(c.force, at) }

// Step returns the newest offset that is in force now.
func (c *Chain) Step(now units.Instant) ids.Offset {
	at := c.read()
	if at > c.force && (len(c.waiting) == 0 || c.waiting[len(c.waiting)-1].at < at) {
		c.waiting = append(c.waiting, mark{at: at, since: now})
	}
	for len(c.waiting) > 0 && now.Sub(c.waiting[0].since) >= Settle {
		c.Learn(c.waiting[0].at)
		c.waiting = c.waiting[1:]
	}
	return c.force
}

// read returns the newest offset that majorities of all eras up to it have read.
func (c *Chain) read() ids.Offset {
	at := c.force
	if at < c.since {
		return at
	}
	for {
		era, end := c.era(at)
		if reached := min(end, c.majority(era, end)); reached > at {
			at = reached
		}
		if at < end || at >= c.position {
			return at
		}
	}
}

// era returns the roster that governs the record after the offset, and the last
// offset that it governs.
func (c *Chain) era(at ids.Offset) (roster.Roster, ids.Offset) {
	var governing roster.Roster
	for _, r := range c.rosters {
		if r.Version > at {
			return governing, r.Version
		}
		governing = r
	}
	return governing, max(c.position, at)
}

// majority returns the newest offset that a majority of the roster's witnesses
// has read, or end when the roster has none.
func (c *Chain) majority(r roster.Roster, end ids.Offset) ids.Offset {
	var seen []ids.Offset
	for _, e := range r.Entries {
		if e.Witness {
			seen = append(seen, c.seen[seat{daemon: e.Daemon, incarnation: e.Incarnation}])
		}
	}
	if len(seen) == 0 {
		return end
	}
	slices.SortFunc(seen, func(a, b ids.Offset) int { return cmp.Compare(b, a) })
	for votes := 1; votes <= len(seen); votes++ {
		if witness.Majority(votes, len(seen)) {
			return seen[votes-1]
		}
	}
	return 0
}
