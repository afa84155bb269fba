package balancer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/mesh/balancer"
)

// The target with the lowest cost is picked; those that were tried or whose breaker is open
// without a probe are left out.
func TestPick(t *testing.T) {
	idle := balancer.Candidate{SameCentre: true, Slots: 3}
	with := func(change func(*balancer.Candidate)) balancer.Candidate {
		c := idle
		change(&c)
		return c
	}
	busy := with(func(c *balancer.Candidate) { c.InFlight = 3 })
	remote := with(func(c *balancer.Candidate) { c.SameCentre = false })
	remoteBig := with(func(c *balancer.Candidate) { c.SameCentre, c.Size = false, 6<<10 })
	open := with(func(c *balancer.Candidate) { c.BreakerOpen = true })
	ignored := with(func(c *balancer.Candidate) { c.BreakerOpen, c.IgnoreBreaker = true, true })
	full := with(func(c *balancer.Candidate) { c.InFlight = 20 })
	cases := []struct {
		name string
		list []balancer.Candidate
		want int
	}{
		{name: "none", want: -1},
		{name: "all tried", list: []balancer.Candidate{with(func(c *balancer.Candidate) { c.Tried = true })}, want: -1},
		{name: "the less busy one", list: []balancer.Candidate{busy, idle}, want: 1},
		{name: "the same data centre", list: []balancer.Candidate{remote, idle}, want: 1},
		{name: "an idle one elsewhere before a busy one here", list: []balancer.Candidate{busy, remote}, want: 1},
		{name: "a busy one here before many bytes elsewhere", list: []balancer.Candidate{remoteBig, busy}, want: 1},
		{name: "many bytes elsewhere before a full one here", list: []balancer.Candidate{full, remoteBig}, want: 1},
		{name: "a full one before an open breaker", list: []balancer.Candidate{ignored, full}, want: 1},
		{name: "no open breaker", list: []balancer.Candidate{open}, want: -1},
		{name: "an open breaker before a suspected one", list: []balancer.Candidate{with(func(c *balancer.Candidate) { c.Suspected = true }), ignored}, want: 1},
		{name: "one that is not warming up", list: []balancer.Candidate{with(func(c *balancer.Candidate) { c.WarmUp = time.Second }), idle}, want: 1},
		{name: "a probe before an idle one", list: []balancer.Candidate{idle, with(func(c *balancer.Candidate) { c.BreakerOpen, c.Probe = true, true })}, want: 1},
		{name: "an idle one before a probe elsewhere", list: []balancer.Candidate{idle, with(func(c *balancer.Candidate) { c.SameCentre, c.BreakerOpen, c.Probe = false, true, true })}, want: 0},
		{name: "a probe elsewhere before a busy one", list: []balancer.Candidate{busy, with(func(c *balancer.Candidate) { c.SameCentre, c.BreakerOpen, c.Probe = false, true, true })}, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.want, balancer.Pick(c.list, func() float64 { return 0.5 }))
		})
	}
}
