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
func (c *contention) record(now units.Instant, d ids.Daemon, short bool) {
	if c.current == nil || now.Sub(c.windowStart) >= contentionWindow {
		c.previous = len(c.current)
		if now.Sub(c.windowStart) >= 2*contentionWindow {
			c.previous = 0
		}
		c.windowStart, c.current = now, map[ids.Daemon]bool{}
	}
	if short {
		c.current[d] = true
	}
}

// retryDelay returns when a borrower should ask again if the next token comes in next.
func (c *contention) retryDelay(next time.Duration) time.Duration {
	spaced := time.Duration(max(c.previous, len(c.current))) * retrySpacing
	return min(max(next, spaced), maxWait)
}
