// Package witness decides from the answers of witnesses to a quorum read whether a
// position is the newest that can be in force.
//
// # Usage
//
//	var q witness.QuorumRead
//	q.Add("daemon-3", answer.Incarnation, answer.Seen, queriedAt)
//	queriedAt, ok := q.Confirms(roster, position)
//
// An answer reports up to which offset one incarnation has read; that offset never
// falls. Any two majorities of one roster's witnesses share a witness, so a
// majority that has read nothing past a position precedes a majority that has.
package witness

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// QuorumRead is one round of queries to witnesses. The zero QuorumRead has no
// answers.
type QuorumRead struct {
	answers map[ids.Daemon]answer
}

// answer is what one incarnation reported.
type answer struct {
	incarnation ids.Incarnation
	readTo      ids.Offset
	queriedAt   units.Instant
}

// Add adds the answer to a query that was sent at queriedAt.
func (q *QuorumRead) Add(from ids.Daemon, inc ids.Incarnation, readTo ids.Offset, queriedAt units.Instant) {
	if q.answers == nil {
		q.answers = map[ids.Daemon]answer{}
	}
	q.answers[from] = answer{incarnation: inc, readTo: readTo, queriedAt: queriedAt}
}

// Confirms reports whether a majority of the roster's witnesses has read nothing
// past the position, and when the first of their queries was sent. The roster must
// be the newest one as of the position, in force or not.
func (q *QuorumRead) Confirms(r roster.Roster, position ids.Offset) (units.Instant, bool) {
	var oldest units.Instant
	votes, seats := 0, 0
	for _, e := range r.Entries {
		if !e.Witness {
			continue
		}
		seats++
		a, ok := q.answers[e.Daemon]
		if !ok || a.incarnation != e.Incarnation || a.readTo > position {
			continue
		}
		if votes == 0 || a.queriedAt.Before(oldest) {
			oldest = a.queriedAt
		}
		votes++
	}
	return oldest, Majority(votes, seats)
}

// Majority reports whether the votes are more than half of the seats.
func Majority(votes, seats int) bool { return 2*votes > seats }
