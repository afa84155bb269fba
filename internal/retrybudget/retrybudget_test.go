package retrybudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/retrybudget"
	"balsamwharf.example/balsamwharf/internal/units"
)

// However long a service fails, retries stay within its share and the minimum rate.
func TestBudget(t *testing.T) {
	cases := []struct {
		name  string
		share units.Percent
		pause time.Duration
		least int
		most  int
	}{
		{name: "none allowed", share: 0, pause: time.Millisecond},
		{name: "ten percent of many", share: 10, pause: 0, least: 1000, most: 1010},
		{name: "floor for few", share: 1, pause: 500 * time.Millisecond, least: 10000, most: 10000},
		{name: "share and floor", share: 10, pause: time.Millisecond, least: 1020, most: 1031},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b retrybudget.Budget
			var now units.Instant
			spent := 0
			for range 10000 {
				b.Deposit(now, c.share)
				if b.TryWithdraw() {
					spent++
				}
				now = now.Add(c.pause)
			}
			must.Between(t, c.least, spent, c.most)
		})
	}
}
