package balancer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/mesh/balancer"
)

func TestPick(t *testing.T) {
	idle := balancer.Candidate{SameCentre: true, Slots: 3}
	with := func(change func(*balancer.Candidate)) balancer.Candidate {
		c := idle
		change(&c)
		return c
	}
	busy := with(func(c *balancer.Candidate) { c.InFlight = 3 })
	far := with(func(c *balancer.Candidate) { c.SameCentre = false })
	farBig := with(func(c *balancer.Candidate) { c.SameCentre, c.Size = false, 6<<10 })
	shut := with(func(c *balancer.Candidate) { c.BreakerOpen = true })
	insisting := with(func(c *balancer.Candidate) { c.BreakerOpen, c.IgnoreBreaker = true, true })
	full := with(func(c *balancer.Candidate) { c.InFlight = 20 })
	cases := []struct {
		name string
		list []balancer.Candidate
		want int
	}{
		{name: "none", want: -1},
		{name: "all tried", list: []balancer.Candidate{with(func(c *balancer.Candidate) { c.Tried = true })}, want: -1},
		{name: "the less busy one", list: []balancer.Candidate{busy, idle}, want: 1},
		{name: "the near one", list: []balancer.Candidate{far, idle}, want: 1},
		{name: "a far idle one before a near busy one", list: []balancer.Candidate{busy, far}, want: 1},
		{name: "a near busy one before many bytes", list: []balancer.Candidate{farBig, busy}, want: 1},
		{name: "many bytes before a full one", list: []balancer.Candidate{full, farBig}, want: 1},
		{name: "a full one before an open breaker", list: []balancer.Candidate{insisting, full}, want: 1},
		{name: "no open breaker", list: []balancer.Candidate{shut}, want: -1},
		{name: "an open breaker before silence", list: []balancer.Candidate{with(func(c *balancer.Candidate) { c.Suspected = true }), insisting}, want: 1},
		{name: "a warm one", list: []balancer.Candidate{with(func(c *balancer.Candidate) { c.Warmup = time.Second }), idle}, want: 1},
		{name: "a trial before an idle one", list: []balancer.Candidate{idle, with(func(c *balancer.Candidate) { c.BreakerOpen, c.Probe = true, true })}, want: 1},
		{name: "an idle one before a far trial", list: []balancer.Candidate{idle, with(func(c *balancer.Candidate) { c.SameCentre, c.BreakerOpen, c.Probe = false, true, true })}, want: 0},
		{name: "a far trial before a busy one", list: []balancer.Candidate{busy, with(func(c *balancer.Candidate) { c.SameCentre, c.BreakerOpen, c.Probe = false, true, true })}, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.want, balancer.Pick(c.list, func() float64 { return 0.5 }))
		})
	}
}
