// Package recent is a sliding window over the outcomes of the last seconds. It can be
// summarised over any shorter period up to the present.
//
// # Usage
//
//	var w recent.Window
//	w.Record(now, sample.ServerError{})
//	s := w.Summary(now, 2*time.Second)
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

// Span is the period that a Window covers.
const Span = bucketWidth * buckets

// Window is a ring of buckets, each of which covers bucketWidth. The zero value is
// empty. It is not safe for concurrent use.
type Window struct {
	ring [buckets]bucket
}

// bucket summarises the outcomes of one interval. Intervals are numbered from 1, so
// that number 0 is an empty bucket.
type bucket struct {
	number  int64
	summary sibling.Summary
}

func bucketNumber(now units.Instant) int64 { return int64(now)/int64(bucketWidth) + 1 }

// Record adds one outcome. A bucket of an earlier turn of the ring is replaced.
func (w *Window) Record(now units.Instant, x sample.Sample) {
	n := bucketNumber(now)
	s := &w.ring[n%buckets]
	if s.number != n {
		*s = bucket{number: n}
	}
	s.summary.Record(x)
}

// Summary returns the outcomes of the last d, at most Span. It covers whole buckets,
// the current one included.
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
