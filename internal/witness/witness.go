// Package witness decides from the answers of witnesses whether a position is
// the newest that can be in force.
//
// # Usage
//
//	var p witness.Poll
//	p.Hear("daemon-3", answer.Incarnation, answer.Seen, asked)
//	at, ok := p.Confirms(roster, position)
//
// An answer says how far one incarnation had read, which never falls. Any two
// majorities of one roster's witnesses share a witness, so a majority that has
// seen nothing past a position precedes a majority that has.
package witness

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Poll is one round of questions to witnesses. The zero Poll has no answers.
type QuorumRead struct {
	answers map[ids.Daemon]answer
}

// answer is what one incarnation said.
type answer struct {
	incarnation ids.Incarnation
	seen        ids.Offset
	asked       units.Instant
}

// Hear adds the answer to a question that was sent at asked.
func (p *QuorumRead) Add(from ids.Daemon, inc ids.Incarnation, seen ids.Offset, asked units.Instant) {
	if p.answers == nil {
		p.answers = map[ids.Daemon]answer{}
	}
	p.answers[from] = answer{incarnation: inc, seen: seen, asked: asked}
}

// Confirms reports whether a majority of the roster's witnesses has seen nothing
// past the position, and when the first of the questions was sent. The roster
// must be the newest one as of the position, in force or not.
func (p *QuorumRead) Confirms(r roster.Roster, position ids.Offset) (units.Instant, bool) {
	var oldest units.Instant
	votes, seats := 0, 0
	for _, e := range r.Entries {
		if !e.Witness {
			continue
		}
		seats++
		a, ok := p.answers[e.Daemon]
		if !ok || a.incarnation != e.Incarnation || a.seen > position {
			continue
		}
		if votes == 0 || a.asked.Before(oldest) {
			oldest = a.asked
		}
		votes++
	}
	return oldest, Majority(votes, seats)
}

// Majority reports whether the votes are more than half of the seats.
func Majority(votes, seats int) bool { return 2*votes > seats }
