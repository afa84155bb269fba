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
	// minAnswers is the number of answers from which the percentile means anything.
	minAnswers = 50
	// maxLatencyMS bounds what is recorded, in milliseconds.
	maxLatencyMS      = 60_000
	significantDigits = 2
	resolution        = 100 * time.Microsecond
)

// Estimator keeps the recent latencies of one service. The zero value knows none.
// The caller holds a lock around every call.
type Estimator struct {
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	currentSince units.Instant
	delay        time.Duration
	recorded     int
}

// Record records the time until an answer began.
func (e *Estimator) Record(now units.Instant, took time.Duration) {
	if e.current == nil {
		e.current, e.previous, e.currentSince = newHistogram(), newHistogram(), now
	}
	if now.Sub(e.currentSince) > window {
		e.current, e.previous = e.previous, e.current
		e.current.Reset()
		e.currentSince = now
	}
	_ = e.current.RecordValue(min(max(int64(took/resolution), 1), maxLatencyMS*int64(time.Millisecond/resolution)))
	e.recorded++
	if e.recorded%minAnswers == 0 {
		e.update()
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS*int64(time.Millisecond/resolution), significantDigits)
}

// update takes the later percentile of the two windows, so that a window that
// has just begun can't lower it.
func (e *Estimator) update() {
	value := max(e.current.ValueAtQuantile(percentile), e.previous.ValueAtQuantile(percentile))
	e.delay = time.Duration(value) * resolution
}

// Delay returns when a request is late; false means that too little is known.
func (e *Estimator) Delay() (time.Duration, bool) { return e.delay, e.delay > 0 }
