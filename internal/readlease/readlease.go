// Package evidence decides how long a daemon may act on the records that it has
// read.
//
// # Usage
//
//	best := evidence.Newer(old, evidence.Of(offset, asked))
//	if best.Holds(now, position) { ... }
//
// An Evidence states: no record past At is in force before Asked + Period. So it
// also covers every position after At. The zero Evidence covers nothing.
package readlease

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Duration is how long evidence lasts, counted from when the question was sent.
const Duration = 2 * time.Second

// Evidence is the answer to a question about newer records.
type Lease struct {
	Offset    ids.Offset
	QueriedAt units.Instant
	valid     bool
}

// Of returns the evidence of a question sent at asked that showed no record past
// at.
func New(at ids.Offset, asked units.Instant) Lease {
	return Lease{Offset: at, QueriedAt: asked, valid: true}
}

// Told returns the evidence of a peer that stated its age in answer to a
// question sent at asked. The peer's answer was made after the question was sent,
// so its evidence is not older than age before that.
func FromPeer(at ids.Offset, asked units.Instant, age time.Duration) Lease {
	return New(at, asked.Add(-age))
}

// Holds reports whether the evidence covers the position now.
func (e Lease) Covers(now units.Instant, position ids.Offset) bool {
	return e.valid && position >= e.Offset && e.Age(now) < Duration
}

// Age returns the time since the question was sent.
func (e Lease) Age(now units.Instant) time.Duration { return now.Sub(e.QueriedAt) }

// Newer returns the one of two that lasts longer. Evidence past the position is
// not yet of use and loses.
func Longer(a, b Lease, position ids.Offset) Lease {
	usable := func(e Lease) bool { return e.valid && e.Offset <= position }
	if !usable(b) || (usable(a) && !a.QueriedAt.Before(b.QueriedAt)) {
		return a
	}
	return b
}
