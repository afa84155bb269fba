package lender

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// contentionWindow is how long a borrower that went short counts as waiting.
	contentionWindow = time.Second
	// retrySpacing is the time between two questions of waiting borrowers.
	retrySpacing = 5 * time.Millisecond
	maxWait      = time.Second
)

// contention counts the borrowers that lately got less than they needed, so that
// many of them ask less often.
type contention struct {
	windowStart units.Instant
	current     map[ids.Daemon]bool
	previous    int
}

// record takes down whether a borrower went short.
func (a *contention) record(now units.Instant, d ids.Daemon, short bool) {
	if a.current == nil || now.Sub(a.windowStart) >= contentionWindow {
		a.previous = len(a.current)
		if now.Sub(a.windowStart) >= 2*contentionWindow {
			a.previous = 0
		}
		a.windowStart, a.current = now, map[ids.Daemon]bool{}
	}
	if short {
		a.current[d] = true
	}
}

// retryDelay returns when a borrower should ask again if the next token comes in next.
func (a *contention) retryDelay(next time.Duration) time.Duration {
	crowd := time.Duration(max(a.previous, len(a.current))) * retrySpacing
	return min(max(next, crowd), maxWait)
}
