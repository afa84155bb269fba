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
	var r reach.Tracker
	now := units.Instant(0)
	r.Record("a", false, now)
	must.False(t, r.Avoid("a", now))
	for _, want := range []time.Duration{500, 1000, 2000, 4000, 8000, 16000, 30000, 30000} {
		r.Record("a", false, now)
		r.Record("a", false, now)
		wait := want * time.Millisecond
		must.True(t, r.Avoid("a", now.Add(wait-1)))
		must.False(t, r.Avoid("a", now.Add(wait)))
		must.False(t, r.Avoid("b", now))
		now = now.Add(wait)
	}
	r.Record("a", true, now)
	r.Record("a", false, now)
	must.False(t, r.Avoid("a", now))
}

// All gatekeepers unreachable means that the fault is probably this side's.
func TestNeverAvoidsAll(t *testing.T) {
	var r reach.Tracker
	all := []ids.Daemon{"a", "b"}
	for range 2 {
		r.Record("a", false, 0)
	}
	must.Eq(t, []ids.Daemon{"b"}, r.Usable(all, 0))
	for range 2 {
		r.Record("b", false, 0)
	}
	must.Eq(t, all, r.Usable(all, 0))
}

// A failure is forgotten once it is long ago.
func TestTrim(t *testing.T) {
	var r reach.Tracker
	must.True(t, r.NoFailures())
	r.Record("a", false, 0)
	r.EvictStale(units.Instant(0).Add(time.Minute))
	must.False(t, r.NoFailures())
	r.EvictStale(units.Instant(0).Add(time.Minute + 1))
	must.True(t, r.NoFailures())
}
