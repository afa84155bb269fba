// Package hedge estimates the hedging delay of a service: the time after which a
// request without an answer is sent to a second target.
//
// # Usage
//
//	h.Record(now, took) // for each answer
//	if delay, ok := h.Delay(); ok {
//		send it again after delay
//	}
package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// percentile is the percentile of the latency that is the hedging delay.
	percentile = 95
	// window is the least time for which an answer counts. It counts for at most
	// twice that.
	window = 30 * time.Second
	// minAnswers is the number of answers that a percentile needs, and between two
	// updates of it.
	minAnswers = 50
	// maxLatencyMS bounds the recorded latency, in milliseconds.
	maxLatencyMS      = 60_000
	significantDigits = 2
	resolution        = 100 * time.Microsecond
)

// Estimator holds the recent latencies of one service in two windows. The zero value
// has none. It is not safe for concurrent use.
type Estimator struct {
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	currentSince units.Instant
	delay        time.Duration
	recorded     int
}

// Record records the time until the head of an answer.
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

// update sets the delay to the higher percentile of the two windows, so that a window
// that has just begun can't lower it.
func (e *Estimator) update() {
	value := max(e.current.ValueAtQuantile(percentile), e.previous.ValueAtQuantile(percentile))
	e.delay = time.Duration(value) * resolution
}

// Delay returns the hedging delay, or false while there are fewer than minAnswers.
func (e *Estimator) Delay() (time.Duration, bool) { return e.delay, e.delay > 0 }
