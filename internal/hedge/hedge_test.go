package hedge_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/hedge"
	"balsamwharf.example/balsamwharf/internal/units"
)

func TestAfter(t *testing.T) {
	var h hedge.Estimator
	_, ok := h.Delay()
	must.False(t, ok)
	record := func(now units.Instant, n int, took func(i int) time.Duration) {
		for i := range n {
			h.Record(now, took(i))
		}
	}
	record(0, 100, func(i int) time.Duration { return time.Duration(i+1) * time.Millisecond })
	after, ok := h.Delay()
	must.True(t, ok)
	must.Between(t, 94*time.Millisecond, after, 97*time.Millisecond)
	slow := func(int) time.Duration { return time.Hour }
	record(units.Instant(time.Second), 1000, slow)
	after, _ = h.Delay()
	must.Between(t, 59*time.Second, after, 61*time.Second)
	fast := func(int) time.Duration { return time.Millisecond }
	record(units.Instant(time.Minute), 50, fast)
	after, _ = h.Delay()
	must.Greater(t, time.Minute-time.Second, after)
	record(units.Instant(2*time.Minute), 50, fast)
	after, _ = h.Delay()
	must.Between(t, time.Millisecond, after, 2*time.Millisecond)
}
