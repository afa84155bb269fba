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
	bucketWidth = 250 * time.Millisecond
	buckets     = 40
)

// Span is the longest time that a Recent covers.
const Span = bucketWidth * buckets

// Window is a ring of summaries, one for each step. The zero value is empty.
type Window struct {
	ring [buckets]bucket
}

// bucket is the summary of one step. Steps are numbered from 1.
type bucket struct {
	number  int64
	summary sibling.Summary
}

func bucketNumber(now units.Instant) int64 { return int64(now)/int64(bucketWidth) + 1 }

// Record adds one outcome.
func (w *Window) Record(now units.Instant, x sample.Sample) {
	n := bucketNumber(now)
	s := &w.ring[n%buckets]
	if s.number != n {
		*s = bucket{number: n}
	}
	s.summary.Record(x)
}

// Summary summarises the steps of the last d, the present step included.
func (w *Window) Summary(now units.Instant, d time.Duration) sibling.Summary {
	last := bucketNumber(now)
	first := bucketNumber(max(now.Add(-min(d, Span)), 0))
	var sum sibling.Summary
	for _, s := range w.ring {
		if s.number >= first && s.number <= last && s.number > last-buckets {
			sum = sum.Add(s.summary)
		}
	}
	return sum
}
