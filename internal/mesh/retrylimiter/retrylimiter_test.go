package retrylimiter_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"balsamwharf.example/balsamwharf/internal/mesh/retrylimiter"
	"balsamwharf.example/balsamwharf/internal/units"
)

const window = 10 * time.Second

// In no window do the repeats of all daemons pass the bound, however requests and
// repeats are spread over daemons and time.
func TestNeverOverTheBound(t *testing.T) {
	const ratio, extra = 0.2, 64
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 5).Draw(t, "daemons")
		all := make([]retrylimiter.Limiter, daemons)
		for i := range all {
			all[i] = retrylimiter.Limiter{Window: window, Ratio: ratio, Extra: extra}
		}
		var requests, repeats []units.Instant
		now := units.Instant(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			a := &all[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			a.CountRequest(now)
			requests = append(requests, now)
			for a.Acquire(now, daemons) {
				repeats = append(repeats, now)
			}
		}
		for _, from := range repeats {
			most := ratio*float64(within(requests, from.Add(-window), 3*window)) + extra
			if got := float64(within(repeats, from, window)); got > most {
				t.Fatalf("%v repeats in a window, %v allowed", got, most)
			}
		}
	})
}

// Repeats at the end of one part of the window and at the start of the part after the
// next ones are still within one window.
func TestSlidingWindow(t *testing.T) {
	a := retrylimiter.Limiter{Window: window, Extra: 64}
	late := units.Instant(900 * time.Millisecond)
	n := 0
	for a.Acquire(late, 1) {
		n++
	}
	for a.Acquire(late.Add(window-500*time.Millisecond), 1) {
		n++
	}
	must.LessEq(t, 64, n)
}

// within counts the instants in a span.
func within(list []units.Instant, from units.Instant, span time.Duration) int {
	n := 0
	for _, i := range list {
		if i >= from && i < from.Add(span) {
			n++
		}
	}
	return n
}

// Charged repeats leave fewer to spend.
func TestCountRetries(t *testing.T) {
	a := retrylimiter.Limiter{Window: window, Extra: 10, StartedAt: -units.Instant(window)}
	left := a.Remaining(0, 1)
	a.CountRetries(0, 2.5)
	must.EqOp(t, left-2.5, a.Remaining(0, 1))
	must.EqOp(t, left, a.Remaining(units.Instant(window+window/10), 1))
}

// A repeat that was given back can be spent again.
func TestRefund(t *testing.T) {
	a := retrylimiter.Limiter{Window: window, Extra: 10}
	left := a.Remaining(0, 1)
	must.True(t, a.Acquire(0, 1))
	a.Refund(0)
	must.EqOp(t, left, a.Remaining(0, 1))
}

// A new process has only a part of the extra repeats, because the one before may have spent
// its own.
func TestExtraGrows(t *testing.T) {
	a := retrylimiter.Limiter{Window: window, Extra: 10, StartedAt: units.Instant(time.Minute)}
	must.EqOp(t, 4, a.Remaining(units.Instant(time.Minute), 1))
	must.EqOp(t, 6, a.Remaining(units.Instant(time.Minute+window/2), 1))
	must.EqOp(t, 8, a.Remaining(units.Instant(time.Minute+2*window), 1))
}

func TestZeroValueAllowsNone(t *testing.T) {
	var a retrylimiter.Limiter
	a.CountRequest(0)
	must.False(t, a.Acquire(0, 1))
}
