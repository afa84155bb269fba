package batches_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/batches"
	"balsamwharf.example/balsamwharf/internal/units"
)

func TestSpend(t *testing.T) {
	cases := []struct {
		name string
		at   units.Instant
		n    units.Tokens
		ok   bool
		ends units.Instant
	}{
		{name: "more than there is", at: 0, n: 6},
		{name: "across batches", at: 0, n: 4, ok: true, ends: 10},
		{name: "not from a batch that ended", at: 10, n: 3},
		{name: "from the other", at: 10, n: 2, ok: true, ends: 20},
		{name: "nothing after the last end", at: 20, n: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var cache batches.Cache
			cache.Add(batches.Batch{Leader: "a", Left: 3, ExpiresAt: 10})
			cache.Add(batches.Batch{Leader: "b", Left: 2, ExpiresAt: 20})
			ends, ok := cache.Consume(c.at, c.n)
			must.EqOp(t, c.ok, ok)
			must.EqOp(t, c.ends, ends)
		})
	}
}
