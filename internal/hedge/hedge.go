// Package hedge finds the time after which a request of a service is late enough
// to be sent to a second target.
//
// # Usage
//
//	h.Note(now, took) // for each answer
//	if wait, ok := h.After(); ok {
//		send it again after wait
//	}
package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	percentile = 95
	// window is how long an answer counts at least; it counts twice that at most.
	window = 30 * time.Second
	// fewest is the number of answers from which the percentile means anything.
	fewest = 50
	// slowest bounds what is recorded, in milliseconds.
	slowest      = 60_000
	significance = 2
	unit         = 100 * time.Microsecond
)

// Estimator keeps the recent latencies of one service. The zero value knows none.
// The caller holds a lock around every call.
type Estimator struct {
	now    *hdrhistogram.Histogram
	before *hdrhistogram.Histogram
	since  units.Instant
	after  time.Duration
	noted  int
}

// Record records the time until an answer began.
func (h *Estimator) Record(now units.Instant, took time.Duration) {
	if h.now == nil {
		h.now, h.before, h.since = newHistogram(), newHistogram(), now
	}
	if now.Sub(h.since) > window {
		h.now, h.before = h.before, h.now
		h.now.Reset()
		h.since = now
	}
	_ = h.now.RecordValue(min(max(int64(took/unit), 1), slowest*int64(time.Millisecond/unit)))
	h.noted++
	if h.noted%fewest == 0 {
		h.update()
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, slowest*int64(time.Millisecond/unit), significance)
}

// update takes the later percentile of the two windows, so that a window that
// has just begun can't lower it.
func (h *Estimator) update() {
	value := max(h.now.ValueAtQuantile(percentile), h.before.ValueAtQuantile(percentile))
	h.after = time.Duration(value) * unit
}

// Delay returns when a request is late; false means that too little is known.
func (h *Estimator) Delay() (time.Duration, bool) { return h.after, h.after > 0 }
