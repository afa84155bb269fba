package lender

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// contentionWindow is how long a borrower counts as waiting after it got less than it
	// needed.
	contentionWindow = time.Second
	// retrySpacing is the average time between two requests of all waiting borrowers.
	retrySpacing = 5 * time.Millisecond
	maxWait      = time.Second
)

// contention counts the borrowers that recently got less than they needed. The more there
// are, the less often each of them is told to retry.
type contention struct {
	windowStart units.Instant
	// current holds these borrowers in the window that began at windowStart; previous is
	// their number in the window before.
	current  map[ids.Daemon]bool
	previous int
}

// record records whether a borrower got less than it needed.
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

// retryDelay returns how long a borrower should wait before its next request, given that
// the next token is available after next.
func (c *contention) retryDelay(next time.Duration) time.Duration {
	spaced := time.Duration(max(c.previous, len(c.current))) * retrySpacing
	return min(max(next, spaced), maxWait)
}
