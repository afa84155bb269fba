package window_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/window"
)

// Events older than the span don't count, also when their slot was not used again.
func TestLast(t *testing.T) {
	var w window.Window
	at := func(d time.Duration) units.Instant { return units.Instant(d) }
	w.Add(at(0), false)
	w.Add(at(30*time.Minute), true)
	w.Add(at(3*time.Hour), false)
	now := at(3*time.Hour + time.Minute)
	cases := []struct {
		span time.Duration
		want window.Count
	}{
		{5 * time.Minute, window.Count{Bad: 1}},
		{time.Hour, window.Count{Bad: 1}},
		{6 * time.Hour, window.Count{Good: 1, Bad: 2}},
		{72 * time.Hour, window.Count{Good: 1, Bad: 2}},
	}
	for _, c := range cases {
		t.Run(c.span.String(), func(t *testing.T) {
			must.EqOp(t, c.want, w.Last(now, c.span))
		})
	}
	must.EqOp(t, window.Count{}, w.Last(at(100*time.Hour), 72*time.Hour))
}
