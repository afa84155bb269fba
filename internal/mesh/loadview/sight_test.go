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

// A report that came with an answer fades to the usual load; one that is told unasked
// holds while the gatekeeper goes on telling, and own requests add to it.
func TestBusy(t *testing.T) {
	var s loadview.Table
	full := request.Load{Running: 3, Waiting: 3, Slots: 3}
	s.Note("a", full, at(0))
	s.RecordReport("b", full, at(0))
	must.EqOp(t, 6, s.View("a", 3, at(0)).Busy)
	must.Less(t, 2, s.View("a", 3, at(5*time.Second)).Busy)
	s.Begin("b")
	must.EqOp(t, 7, s.View("b", 3, at(time.Second)).Busy)
	must.False(t, s.View("b", 3, at(time.Second)).Silent)
	must.True(t, s.View("b", 3, at(2*time.Second)).Silent)
	must.False(t, s.View("a", 3, at(2*time.Second)).Silent)
}

func TestShutAndGone(t *testing.T) {
	var s loadview.Table
	s.Note("a", request.Load{BreakerOpen: true, ProbeIn: time.Second}, at(0))
	must.True(t, s.View("a", 3, at(0)).Shut)
	must.False(t, s.View("a", 3, at(0)).Trial)
	must.True(t, s.View("a", 3, at(time.Second)).Trial)
	must.False(t, s.View("a", 3, at(time.Minute)).Shut)
	s.Gone("a", at(0))
	must.True(t, s.View("a", 3, at(0)).Gone)
	must.False(t, s.View("a", 3, at(time.Second)).Gone)
}
