// Package readlease decides how long a daemon may act on the records that it has
// read.
//
// # Usage
//
//	best := readlease.Longer(old, readlease.New(offset, queriedAt))
//	if best.Covers(now, position) { ... }
//
// A Lease guarantees that no record past Offset is in force before QueriedAt +
// Duration. So it also covers every position after Offset. The zero Lease covers
// nothing.
package readlease

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Duration is how long a lease lasts, counted from when the query was sent.
const Duration = 2 * time.Second

// Lease is the result of a query for newer records.
type Lease struct {
	Offset    ids.Offset
	QueriedAt units.Instant
	valid     bool
}

// New returns the lease of a query, sent at queriedAt, whose reply showed no record
// past the offset.
func New(at ids.Offset, queriedAt units.Instant) Lease {
	return Lease{Offset: at, QueriedAt: queriedAt, valid: true}
}

// FromPeer returns the lease of a peer that reported its age in reply to a query
// sent at queriedAt. The reply was made after the query was sent, so the peer's
// lease began at most age before that.
func FromPeer(at ids.Offset, queriedAt units.Instant, age time.Duration) Lease {
	return New(at, queriedAt.Add(-age))
}

// Covers reports whether the lease is valid at the position now.
func (l Lease) Covers(now units.Instant, position ids.Offset) bool {
	return l.valid && position >= l.Offset && l.Age(now) < Duration
}

// Age returns the time since the query was sent.
func (l Lease) Age(now units.Instant) time.Duration { return now.Sub(l.QueriedAt) }

// Longer returns the lease that lasts longer. A lease with an offset past the
// position is not usable yet and is not chosen.
func Longer(a, b Lease, position ids.Offset) Lease {
	usable := func(l Lease) bool { return l.valid && l.Offset <= position }
	if !usable(b) || (usable(a) && !a.QueriedAt.Before(b.QueriedAt)) {
		return a
	}
	return b
}
