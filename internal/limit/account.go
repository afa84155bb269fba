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

// never is the deadline of a request without one.
const never units.Instant = math.MaxInt64

// account is one client account with recent requests at this daemon.
type account struct {
	id       ids.Account
	limits   settings.Account
	borrowed batches.Batches
	queue    []*waiter
	demand   demand
	// busy is set while a task borrows or returns tokens.
	busy bool
	used units.Instant
	// turn changes which holder is asked first.
	turn int
	// abandoned are questions without an answer, whose grants go back unspent.
	abandoned map[ids.Daemon][]uint64
	// avoid says until when a holder that did not answer is asked last.
	avoid map[ids.Daemon]units.Instant
}

// waiter is one request that waits for a token.
type waiter struct {
	done     chan error
	deadline units.Instant
}

// hopeless reports whether the request can't get a token in time whatever the
// holders have: those before it use up the burst and the rate until then.
func hopeless(now units.Instant, w *waiter, a settings.Account, before int) bool {
	if w.deadline == never {
		return false
	}
	most := units.Tokens(a.Burst)*units.Token + a.Rate.Over(w.deadline.Sub(now)) + units.Token
	return units.Tokens(before+1)*units.Token > most
}

// late reports whether the request's turn comes after its deadline, now that
// the holders have nothing.
func late(now units.Instant, w *waiter, a settings.Account, before int) bool {
	return w.deadline != never && now.Add(turn(a, before)).Sub(w.deadline) > 0
}

// turn returns how long the rate needs for the tokens of those before and one more.
func turn(a settings.Account, before int) time.Duration {
	if a.Rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(before+1) / float64(a.Rate) * float64(time.Second))
}

func overRate(a settings.Account, before int) error {
	refusal := verdict.New(verdict.Unrun, http.StatusTooManyRequests, "the client account is over its rate")
	return refusal.After(turn(a, before))
}

const (
	demandWindow = 200 * time.Millisecond
	// demandAhead is how much of the demand is borrowed ahead.
	demandAhead = 100 * time.Millisecond
)

// demand estimates an account's requests per second at this daemon.
type demand struct {
	began units.Instant
	count int
	rate  units.Rate
}

func (d *demand) note(now units.Instant) {
	if past := now.Sub(d.began); past >= demandWindow {
		d.rate = units.Rate(float64(d.count) / past.Seconds())
		d.began, d.count = now, 0
	}
	d.count++
}

// ahead returns the tokens to borrow ahead; slow accounts get none.
func (d *demand) ahead() units.Tokens {
	return d.rate.Over(demandAhead) / units.Token * units.Token
}
