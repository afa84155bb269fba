package reach_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/reach"
	"balsamwharf.example/balsamwharf/internal/units"
)

func TestAvoid(t *testing.T) {
	var tracker reach.Tracker
	now := units.Instant(0)
	tracker.Record("a", false, now)
	must.False(t, tracker.Avoid("a", now))
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 8000, 16000, 30000, 30000} {
		tracker.Record("a", false, now)
		tracker.Record("a", false, now)
		wait := want * time.Millisecond
		must.True(t, tracker.Avoid("a", now.Add(wait-1)))
		must.False(t, tracker.Avoid("a", now.Add(wait)))
		must.False(t, tracker.Avoid("b", now))
		now = now.Add(wait)
	}
	tracker.Record("a", true, now)
	tracker.Record("a", false, now)
	must.False(t, tracker.Avoid("a", now))
}

// If no gatekeeper is reachable, none is avoided: the fault is probably on this side.
func TestNeverAvoidsAll(t *testing.T) {
	var tracker reach.Tracker
	all := []ids.Daemon{"a", "b"}
	for range 2 {
		tracker.Record("a", false, 0)
	}
	must.Eq(t, []ids.Daemon{"b"}, tracker.Usable(all, 0))
	for range 2 {
		tracker.Record("b", false, 0)
	}
	must.Eq(t, all, tracker.Usable(all, 0))
}

// A failure is evicted after the retention period.
func TestTrim(t *testing.T) {
	var tracker reach.Tracker
	must.True(t, tracker.NoFailures())
	tracker.Record("a", false, 0)
	tracker.EvictStale(units.Instant(0).Add(time.Minute))
	must.False(t, tracker.NoFailures())
	tracker.EvictStale(units.Instant(0).Add(time.Minute + 1))
	must.True(t, tracker.NoFailures())
}
