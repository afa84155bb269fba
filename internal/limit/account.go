package limit

import (
	"math"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/batches"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// noDeadline is the deadline of a request without one.
const noDeadline units.Instant = math.MaxInt64

// account is one client account with recent requests at this daemon.
type account struct {
	id     ids.Account
	limits settings.Account
	cached batches.Batches
	queue  []*waiter
	demand demand
	// borrowing is set while a task borrows or returns tokens.
	borrowing bool
	lastUsed  units.Instant
	// rotation changes which holder is asked first.
	rotation int
	// unanswered are questions without an answer, whose grants go back unspent.
	unanswered map[ids.Daemon][]uint64
	// avoidUntil says until when a holder that did not answer is asked last.
	avoidUntil map[ids.Daemon]units.Instant
}

// waiter is one request that waits for a token.
type waiter struct {
	done     chan error
	deadline units.Instant
}

// cannotMeetDeadline reports whether the request can't get a token in time whatever the
// holders have: those before it use up the burst and the rate until then.
func cannotMeetDeadline(now units.Instant, w *waiter, a settings.Account, before int) bool {
	if w.deadline == noDeadline {
		return false
	}
	most := units.Tokens(a.Burst)*units.Token + a.Rate.Over(w.deadline.Sub(now)) + units.Token
	return units.Tokens(before+1)*units.Token > most
}

// turnAfterDeadline reports whether the request's turn comes after its deadline, now that
// the holders have nothing.
func turnAfterDeadline(now units.Instant, w *waiter, a settings.Account, before int) bool {
	return w.deadline != noDeadline && now.Add(timeToTurn(a, before)).Sub(w.deadline) > 0
}

// timeToTurn returns how long the rate needs for the tokens of those before and one more.
func timeToTurn(a settings.Account, before int) time.Duration {
	if a.Rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(before+1) / float64(a.Rate) * float64(time.Second))
}

func overRate(a settings.Account, before int) error {
	refusal := verdict.New(verdict.Unrun, http.StatusTooManyRequests, "the client account is over its rate")
	return refusal.After(timeToTurn(a, before))
}

const (
	demandWindow = 200 * time.Millisecond
	// prefetchWindow is how much of the demand is borrowed ahead.
	prefetchWindow = 100 * time.Millisecond
)

// demand estimates an account's requests per second at this daemon.
type demand struct {
	windowStart units.Instant
	count       int
	rate        units.Rate
}

func (d *demand) record(now units.Instant) {
	if past := now.Sub(d.windowStart); past >= demandWindow {
		d.rate = units.Rate(float64(d.count) / past.Seconds())
		d.windowStart, d.count = now, 0
	}
	d.count++
}

// prefetchTokens returns the tokens to borrow prefetchTokens; slow accounts get none.
func (d *demand) prefetchTokens() units.Tokens {
	return d.rate.Over(prefetchWindow) / units.Token * units.Token
}
