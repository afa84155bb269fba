package breaker_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/mesh/breaker"
	"balsamwharf.example/balsamwharf/internal/units"
)

func at(d time.Duration) units.Instant { return units.Instant(d) }

func TestOpens(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []breaker.Outcome
		open     bool
	}{
		{name: "nothing happened"},
		{name: "served", outcomes: []breaker.Outcome{breaker.Served, breaker.Served}},
		{name: "one broken answer", outcomes: []breaker.Outcome{breaker.Served, breaker.Broken}, open: true},
		{name: "one failure", outcomes: []breaker.Outcome{breaker.Failed}},
		{name: "failures in a row", outcomes: []breaker.Outcome{breaker.Failed, breaker.Failed}, open: true},
		{name: "single failures", outcomes: []breaker.Outcome{breaker.Failed, breaker.Served, breaker.Failed}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b breaker.Breaker
			for _, o := range c.outcomes {
				b.Record(0, o)
			}
			must.EqOp(t, c.open, b.Open())
		})
	}
}

// After a pause, an open breaker admits one idempotent request at a time as a probe, and
// closes when two probes in a row were served.
func TestProbes(t *testing.T) {
	var b breaker.Breaker
	b.Record(0, breaker.Broken)
	must.EqOp(t, breaker.Refuse, b.Allow(at(10*time.Millisecond), true))
	now := at(200 * time.Millisecond)
	must.EqOp(t, 0, b.ProbeIn(now))
	must.EqOp(t, breaker.Refuse, b.Allow(now, false))
	must.EqOp(t, breaker.Probe, b.Allow(now, true))
	must.EqOp(t, breaker.Refuse, b.Allow(now, true))
	b.Record(now, breaker.Served)
	must.True(t, b.Open())
	must.EqOp(t, breaker.Probe, b.Allow(now, true))
	b.Record(now, breaker.Served)
	must.False(t, b.Open())
	must.EqOp(t, breaker.Admit, b.Allow(now, false))
}

// Each failed probe makes the next pause longer, up to 1.2 s.
func TestPausesGrow(t *testing.T) {
	var b breaker.Breaker
	now := at(0)
	b.Record(now, breaker.Broken)
	last := time.Duration(0)
	for range 8 {
		pause := b.ProbeIn(now)
		must.GreaterEq(t, last, pause)
		must.LessEq(t, 1200*time.Millisecond, pause)
		last = pause
		now = now.Add(pause)
		must.EqOp(t, breaker.Probe, b.Allow(now, true))
		b.Record(now, breaker.Broken)
	}
	must.EqOp(t, 1200*time.Millisecond, last)
}

// Answers to requests that were sent before the breaker opened do not close it.
func TestLateAnswersDoNotClose(t *testing.T) {
	var b breaker.Breaker
	b.Record(0, breaker.Broken)
	for range 5 {
		b.Record(0, breaker.Served)
	}
	must.True(t, b.Open())
}
