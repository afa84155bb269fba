package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/mesh/warmup"
	"balsamwharf.example/balsamwharf/internal/units"
)

const second = units.Instant(time.Second)

// most returns the largest number of instants within any second.
func most(sent []units.Instant) int {
	n, first := 0, 0
	for i, at := range sent {
		for at-sent[first] >= second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Load pattern: requests arrive much faster than a cold backend server bears, and announcements and
// answers say that it is cold, or nothing. No second has more than it bears.
func TestColdServerUnderLoad(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		rate := 1 + r.IntN(40)
		l := warmup.Limiter{KnownSince: second}
		l.SetRate(units.Rate(rate), second)
		var sent []units.Instant
		for now := second; now < 20*second; now += units.Instant(r.Int64N(int64(40 * time.Millisecond))) {
			if r.IntN(50) == 0 {
				l.Learn(time.Duration(r.Int64N(int64(time.Second))), now)
			}
			if !l.Admit(now) {
				continue
			}
			// Some wait for a slot, and some are given up.
			if now += units.Instant(r.Int64N(int64(20 * time.Millisecond))); r.IntN(5) == 0 {
				l.Cancel()
			} else if l.Send(now) {
				sent = append(sent, now)
			}
		}
		must.LessEq(t, rate, most(sent), must.Sprint("seed ", seed))
		must.Greater(t, rate*19/2, len(sent), must.Sprint("seed ", seed))
	}
}

// A backend server that serves 50 requests a second turns cold at any moment. What it gets in one
// second from then on stays within what the platform's rules allow, 1.5 times what it bears and 8
// more, although its announcements come late: guards against trust in an old announcement.
func TestTurnsColdUnderLoad(t *testing.T) {
	const bears, allowed = 15, 15*1.5 + 8
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 2))
		l := warmup.Limiter{}
		l.SetRate(bears, 0)
		turns := 5*second + units.Instant(r.Int64N(int64(time.Second)))
		var cold []units.Instant
		warm := 0
		for now := 2 * second; now < turns+3*second; now += units.Instant(10+r.Int64N(20)) * units.Instant(time.Millisecond) {
			if now < turns {
				l.Learn(0, now)
			}
			if l.ProbeDue(now) {
				remaining := max(turns+3*second-now, 0)
				if now < turns {
					remaining = 0
				}
				l.Prove(time.Duration(remaining), now, now)
			}
			if !l.Admit(now) || !l.Send(now) {
				continue
			}
			if now >= turns {
				cold = append(cold, now)
			} else {
				warm++
			}
		}
		must.LessEq(t, allowed, float64(most(cold)), must.Sprint("seed ", seed))
		must.Greater(t, 3*30, warm, must.Sprint("a warm backend server is not limited, seed ", seed))
	}
}

// Load pattern: a daemon is killed and starts again while its backend server is cold and requests press.
// Both processes together send no more in a second than the platform tolerates, without its slack. The
// new one is not limited so much once the backend server says that it is warm.
func TestNewProcess(t *testing.T) {
	for rate := 1; rate <= 40; rate++ {
		before, after := warmup.Limiter{}, warmup.Limiter{KnownSince: 10 * second}
		before.SetRate(units.Rate(rate), 0)
		after.SetRate(units.Rate(rate), 10*second)
		var sent []units.Instant
		for now := 9 * second; now < 12*second; now += second / 500 {
			l := &before
			if now >= 10*second {
				l = &after
			}
			if l.Admit(now) && l.Send(now) {
				sent = append(sent, now)
			}
		}
		must.LessEq(t, rate*3/2, most(sent))
	}
	l := warmup.Limiter{KnownSince: 10 * second}
	l.SetRate(15, 10*second+1)
	l.Learn(0, 10*second+1)
	for range 5 {
		must.True(t, l.Admit(10*second+2))
	}
	must.False(t, l.Admit(10*second+2))
	must.True(t, l.ProbeDue(10*second+2))
	l.Prove(0, 10*second+2, 10*second+3)
	must.True(t, l.Admit(10*second+4))
	l.Cancel()
	l.Doubt()
	must.False(t, l.Admit(10*second+5))
	must.True(t, l.Admit(11*second+second/10))
}

// Without a limit in the configuration nothing is limited, and nobody is asked.
func TestOffWithoutRate(t *testing.T) {
	var l warmup.Limiter
	for now := range units.Instant(1000) {
		must.True(t, l.Admit(now))
		must.True(t, l.Send(now))
		must.False(t, l.ProbeDue(now))
	}
	must.EqOp(t, 0, l.Cold(0))
	l.Learn(time.Hour, 1)
	must.EqOp(t, 0, l.Cold(2))
	must.EqOp(t, 0, l.Room(2))
}
