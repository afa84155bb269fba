// Package readers decides which daemons of a data centre read a topic of the platform's store
// for the others.
//
// # Usage
//
//	var e readers.Election
//	e.Claim(address, now)                 // with each report of a daemon that reads
//	if e.Reads(own, members, now) { ... } // this daemon has to read
//
// Nobody agrees on anything. Daemons that read say so in their load reports. A daemon reads
// unless enough daemons of higher weight claim to. When views differ, some daemons too many
// read, which costs calls and nothing else; a reader that falls silent is replaced once its last
// claim has expired.
package readers

import (
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// wanted is how many daemons of a data centre read, so that nothing is delayed when one of
	// them is lost.
	wanted = 2
	// minClaimTTL is how long a claim counts at least, and ttlPerMember bounds it in large data
	// centres, where load reports are rarer: 4 ms apart for each member. One or two reports may
	// get lost.
	minClaimTTL  = 1200 * time.Millisecond
	ttlPerMember = 10 * time.Millisecond
	// step and maxPatience separate the daemons that could replace a reader.
	step        = 50 * time.Millisecond
	maxPatience = time.Second
	// rankKey is the key by which daemons are ranked.
	rankKey = "readers"
)

// ClaimTTL returns how long a claim counts in a data centre of so many daemons.
func ClaimTTL(members int) time.Duration {
	return max(minClaimTTL, time.Duration(members)*ttlPerMember)
}

// Election holds the claims of the other daemons of a data centre. The zero value works. It
// doesn't lock; its owner does.
type Election struct {
	claims map[ids.Address]units.Instant
	// startedAt is when Reads was called first.
	startedAt units.Instant
	started   bool
	// missingSince is since when there have been too few claims.
	missingSince units.Instant
	missing      bool
}

// Claim records that a daemon reads.
func (e *Election) Claim(a ids.Address, now units.Instant) {
	if e.claims == nil {
		e.claims = map[ids.Address]units.Instant{}
	}
	e.claims[a] = now
}

// Withdraw records that a daemon does not read.
func (e *Election) Withdraw(a ids.Address) { delete(e.claims, a) }

// Reads reports whether this daemon has to read. members are the daemons of its data centre;
// it counts as one of them in any case.
func (e *Election) Reads(own ids.Address, members []ids.Address, now units.Instant) bool {
	if !e.started {
		e.startedAt, e.started = now, true
	}
	higher := higherThan(own, members)
	ttl := ClaimTTL(len(members))
	if e.claimed(higher, now, ttl) >= wanted {
		e.missing = false
		return false
	}
	if !e.missing {
		e.missingSince, e.missing = now, true
	}
	if len(higher) < wanted {
		return true
	}
	patience := min(time.Duration(len(higher))*step, maxPatience)
	return now.Sub(e.missingSince) >= patience && now.Sub(e.startedAt) >= ttl+patience
}

// claimed returns how many of the daemons claim to read, and drops expired claims.
func (e *Election) claimed(daemons []ids.Address, now units.Instant, ttl time.Duration) int {
	n := 0
	for a, at := range e.claims {
		switch {
		case now.Sub(at) >= ttl:
			delete(e.claims, a)
		case slices.Contains(daemons, a):
			n++
		}
	}
	return n
}

// higherThan returns the members with a higher weight than the daemon.
func higherThan(own ids.Address, members []ids.Address) []ids.Address {
	key := rendezvous.HashKey(rankKey)
	weight := key.Weight(ids.Daemon(own))
	var higher []ids.Address
	for _, a := range members {
		w := key.Weight(ids.Daemon(a))
		if a != own && (w > weight || (w == weight && a < own)) {
			higher = append(higher, a)
		}
	}
	return higher
}
