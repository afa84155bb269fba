package lender

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// askerWindow is how long a borrower that went short counts as waiting.
	askerWindow = time.Second
	// askerSpacing is the time between two questions of waiting borrowers.
	askerSpacing = 5 * time.Millisecond
	maxWait      = time.Second
)

// askers counts the borrowers that lately got less than they needed, so that
// many of them ask less often.
type askers struct {
	began  units.Instant
	now    map[ids.Daemon]bool
	before int
}

// note takes down whether a borrower went short.
func (a *askers) note(now units.Instant, d ids.Daemon, short bool) {
	if a.now == nil || now.Sub(a.began) >= askerWindow {
		a.before = len(a.now)
		if now.Sub(a.began) >= 2*askerWindow {
			a.before = 0
		}
		a.began, a.now = now, map[ids.Daemon]bool{}
	}
	if short {
		a.now[d] = true
	}
}

// wait returns when a borrower should ask again if the next token comes in next.
func (a *askers) wait(next time.Duration) time.Duration {
	crowd := time.Duration(max(a.before, len(a.now))) * askerSpacing
	return min(max(next, crowd), maxWait)
}
