package loadview_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/mesh/loadview"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
)

func at(d time.Duration) units.Instant { return units.Instant(d) }

// A report that came with an answer decays to the default load. A periodic report counts
// in full until it expires, and requests sent since are added to it.
func TestInFlight(t *testing.T) {
	var s loadview.Table
	full := request.Load{Running: 3, Waiting: 3, Slots: 3}
	s.RecordAnswer("a", full, at(0))
	s.RecordReport("b", full, at(0))
	must.EqOp(t, 6, s.View("a", 3, at(0)).InFlight)
	must.Less(t, 2, s.View("a", 3, at(5*time.Second)).InFlight)
	s.CountRequest("b")
	must.EqOp(t, 7, s.View("b", 3, at(time.Second)).InFlight)
	must.False(t, s.View("b", 3, at(time.Second)).Stale)
	must.True(t, s.View("b", 3, at(2*time.Second)).Stale)
	must.False(t, s.View("a", 3, at(2*time.Second)).Stale)
}

func TestBreakerOpenAndNoTarget(t *testing.T) {
	var s loadview.Table
	s.RecordAnswer("a", request.Load{BreakerOpen: true, ProbeIn: time.Second}, at(0))
	must.True(t, s.View("a", 3, at(0)).BreakerOpen)
	must.False(t, s.View("a", 3, at(0)).Probe)
	must.True(t, s.View("a", 3, at(time.Second)).Probe)
	must.False(t, s.View("a", 3, at(time.Minute)).BreakerOpen)
	s.RecordNoTarget("a", at(0))
	must.True(t, s.View("a", 3, at(0)).NoTarget)
	must.False(t, s.View("a", 3, at(time.Second)).NoTarget)
}
