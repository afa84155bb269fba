// Package rosterchain decides which records are in force.
//
// # Usage
//
//	var c rosterchain.Chain
//	c.SetRosters(rosters, since, position)
//	c.RecordRead("daemon-3", incarnation, offset)
//	newest := c.Advance(now)
//
// A record is in force when no daemon can be confirmed before it any more. The
// witnesses of the newest roster before the record decide: a majority of them has
// read it, every earlier roster has come in force in the same way by the witnesses
// of the roster before it, and SettleTime has passed since both were known. Without
// witnesses only the log itself confirms a daemon, and SettleTime after the record
// was read is enough.
//
// What is in force stays in force, so daemons may report it to each other. The zero
// Chain knows of nothing in force.
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

// SettleTime is the time from when majorities have read a record until it is in
// force. It exceeds the duration of a read lease by the most that two clocks drift
// apart meanwhile.
const SettleTime = readlease.Duration + 100*time.Millisecond

// Chain holds the rosters and the offsets that their witnesses have read.
type Chain struct {
	inForce  ids.Offset
	rosters  []roster.Roster
	since    ids.Offset
	position ids.Offset
	readTo   map[seat]ids.Offset
	pending  []pendingOffset
}

// seat is one incarnation of a witness.
type seat struct {
	daemon      ids.Daemon
	incarnation ids.Incarnation
}

// pendingOffset is an offset that majorities had read at the instant since.
type pendingOffset struct {
	offset ids.Offset
	since  units.Instant
}

// endedOffset counts as read by an incarnation that no longer answers.
const endedOffset = ids.Offset(1<<64 - 1)

// InForce returns the newest offset known to be in force.
func (c *Chain) InForce() ids.Offset { return c.inForce }

// SetRosters sets the rosters, oldest first, the offset from which on none is
// missing, and the offset that this daemon has read.
func (c *Chain) SetRosters(rosters []roster.Roster, since, position ids.Offset) {
	c.rosters, c.since, c.position = rosters, since, position
	for s := range c.readTo {
		if !c.seated(s) {
			delete(c.readTo, s)
		}
	}
}

func (c *Chain) seated(s seat) bool {
	return slices.ContainsFunc(c.rosters, func(r roster.Roster) bool {
		e, ok := r.FindIncarnation(s.daemon, s.incarnation)
		return ok && e.Witness
	})
}

// RecordRead records that an incarnation has read up to an offset.
func (c *Chain) RecordRead(id ids.Daemon, inc ids.Incarnation, at ids.Offset) {
	s := seat{daemon: id, incarnation: inc}
	if at <= c.readTo[s] || !c.seated(s) {
		return
	}
	if c.readTo == nil {
		c.readTo = map[seat]ids.Offset{}
	}
	c.readTo[s] = at
}

// RecordIncarnation records the current incarnation of a daemon. Every earlier one
// has ended and can't confirm anything, as if it had read every record.
func (c *Chain) RecordIncarnation(id ids.Daemon, inc ids.Incarnation) {
	for _, r := range c.rosters {
		if e, ok := r.Find(id); ok && e.Incarnation < inc {
			c.RecordRead(id, e.Incarnation, endedOffset)
		}
	}
}

// RecordRetired records that an incarnation no longer answers as a witness.
func (c *Chain) RecordRetired(id ids.Daemon, inc ids.Incarnation) { c.RecordRead(id, inc, endedOffset) }

// RaiseInForce takes over an offset that another daemon knows to be in force.
func (c *Chain) RaiseInForce(at ids.Offset) { c.inForce = max(c.inForce, at) }

// Advance returns the newest offset that is in force now.
func (c *Chain) Advance(now units.Instant) ids.Offset {
	at := c.readByMajorities()
	if at > c.inForce && (len(c.pending) == 0 || c.pending[len(c.pending)-1].offset < at) {
		c.pending = append(c.pending, pendingOffset{offset: at, since: now})
	}
	for len(c.pending) > 0 && now.Sub(c.pending[0].since) >= SettleTime {
		c.RaiseInForce(c.pending[0].offset)
		c.pending = c.pending[1:]
	}
	return c.inForce
}

// readByMajorities returns the newest offset that majorities of all eras up to it
// have read.
func (c *Chain) readByMajorities() ids.Offset {
	at := c.inForce
	if at < c.since {
		return at
	}
	for {
		era, end := c.era(at)
		if reached := min(end, c.readByMajority(era, end)); reached > at {
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

// readByMajority returns the newest offset that a majority of the roster's
// witnesses has read, or end when the roster has none.
func (c *Chain) readByMajority(r roster.Roster, end ids.Offset) ids.Offset {
	var readTo []ids.Offset
	for _, e := range r.Entries {
		if e.Witness {
			readTo = append(readTo, c.readTo[seat{daemon: e.Daemon, incarnation: e.Incarnation}])
		}
	}
	if len(readTo) == 0 {
		return end
	}
	slices.SortFunc(readTo, func(a, b ids.Offset) int { return cmp.Compare(b, a) })
	for votes := 1; votes <= len(readTo); votes++ {
		if witness.Majority(votes, len(readTo)) {
			return readTo[votes-1]
		}
	}
	return 0
}
