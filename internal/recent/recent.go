// Package recent keeps the outcomes of the last seconds, to be summarised over
// any part of them.
//
// # Usage
//
//	var w recent.Recent
//	w.Note(now, sample.Errored{})
//	recent := w.Since(now, 2*time.Second)
package recent

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	step  = 250 * time.Millisecond
	steps = 40
)

// Span is the longest time that a Recent covers.
const Span = step * steps

// Recent is a ring of summaries, one for each step. The zero value is empty.
type Recent struct {
	ring [steps]slot
}

// slot is the summary of one step. Steps are numbered from 1.
type slot struct {
	number  int64
	summary sibling.Summary
}

func numberOf(now units.Instant) int64 { return int64(now)/int64(step) + 1 }

// Note adds one outcome.
func (w *Recent) Note(now units.Instant, x sample.Sample) {
	n := numberOf(now)
	s := &w.ring[n%steps]
	if s.number != n {
		*s = slot{number: n}
	}
	s.summary.Note(x)
}

// Since summarises the steps of the last d, the present step included.
func (w *Recent) Since(now units.Instant, d time.Duration) sibling.Summary {
	last := numberOf(now)
	first := numberOf(max(now.Add(-min(d, Span)), 0))
	var sum sibling.Summary
	for _, s := range w.ring {
		if s.number >= first && s.number <= last && s.number > last-steps {
			sum = sum.Plus(s.summary)
		}
	}
	return sum
}
