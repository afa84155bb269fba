// Package ledger records what callers sent and got, and checks the promises on it.
//
// # Usage
//
//	var l ledger.Ledger
//	l.Add(ledger.Line{Request: "r1", Account: "andrade/school", ...})
//	for _, b := range l.Breaches(limits, runs) { fmt.Println(b) }
package ledger

import (
	"sort"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Ledger holds one line for each request. The zero value is empty.
type Ledger struct {
	mu    sync.Mutex
	lines []Line
}

// Line is one request as its caller saw it.
type Line struct {
	Request    string
	Account    ids.Account
	Service    ids.Service
	Idempotent bool
	// Sent and Done count from the start of the run.
	Sent    time.Duration
	Done    time.Duration
	Status  int
	Verdict verdict.Verdict
	// Wrong is set when the answer was not the answer to this request.
	Wrong bool
	// Over is set when the caller meant to exceed the account's rate.
	Over bool
	// Withdrawn is set when the request carried the withdrawn key.
	Withdrawn bool
}

// OK reports whether the request got its answer.
func (l Line) OK() bool { return l.Status >= 200 && l.Status < 300 && !l.Wrong }

// Took returns how long the caller waited.
func (l Line) Took() time.Duration { return l.Done - l.Sent }

// Add records one request.
func (l *Ledger) Add(line Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// Lines returns the requests in the order of their sending.
func (l *Ledger) Lines() []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := append([]Line(nil), l.lines...)
	sort.Slice(lines, func(i, j int) bool { return lines[i].Sent < lines[j].Sent })
	return lines
}

// Where returns the lines for which keep holds.
func (l *Ledger) Where(keep func(Line) bool) []Line {
	var kept []Line
	for _, line := range l.Lines() {
		if keep(line) {
			kept = append(kept, line)
		}
	}
	return kept
}

// Success returns the share of the lines that got their answer; it is 1 when
// there are none.
func Success(lines []Line) float64 {
	if len(lines) == 0 {
		return 1
	}
	good := 0
	for _, line := range lines {
		if line.OK() {
			good++
		}
	}
	return float64(good) / float64(len(lines))
}

// Quantile returns the time within which the share q of the lines was done.
func Quantile(lines []Line, q float64) time.Duration {
	if len(lines) == 0 {
		return 0
	}
	times := make([]time.Duration, 0, len(lines))
	for _, line := range lines {
		times = append(times, line.Took())
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(int(q*float64(len(times))), len(times)-1)]
}
