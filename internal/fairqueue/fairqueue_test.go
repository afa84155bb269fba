package fairqueue_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fairqueue"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// With waiting values of all accounts the queue serves them in proportion to their
// weights, however much one of them sends.
func TestSharesByWeight(t *testing.T) {
	q := fairqueue.Queue[int]{Limit: 1000}
	from := map[int]ids.Account{}
	push := func(v int, a ids.Account, w units.Weight) {
		_, shed := q.Push(v, a, w, settings.PatienceNormal)
		must.False(t, shed)
		from[v] = a
	}
	for i := range 300 {
		push(i, "big", 1)
	}
	for i := 300; i < 360; i++ {
		push(i, "double", 2)
	}
	for i := 360; i < 390; i++ {
		push(i, "small", 1)
	}
	served := map[ids.Account]int{}
	for range 120 {
		v, ok := q.Pop()
		must.True(t, ok)
		served[from[v]]++
	}
	must.Eq(t, map[ids.Account]int{"big": 30, "double": 60, "small": 30}, served)
}

func TestPatienceOrdersWithinAccountOnly(t *testing.T) {
	q := fairqueue.Queue[string]{Limit: 10}
	q.Push("a-long", "a", 1, settings.PatienceLong)
	q.Push("b-long", "b", 1, settings.PatienceLong)
	q.Push("a-short", "a", 1, settings.PatienceShort)
	q.Push("a-normal", "a", 1, settings.PatienceNormal)
	var order []string
	for q.Len() > 0 {
		v, _ := q.Pop()
		order = append(order, v)
	}
	must.Eq(t, []string{"a-short", "b-long", "a-normal", "a-long"}, order)
}

func TestFullQueueSheds(t *testing.T) {
	cases := []struct {
		name    string
		account ids.Account
		weight  units.Weight
		p       settings.Patience
		shed    string
	}{
		{name: "newcomer displaces the large account", account: "new", weight: 1, p: settings.PatienceNormal, shed: "large-3"},
		{name: "large account is refused itself", account: "large", weight: 1, p: settings.PatienceNormal, shed: "arrival"},
		{name: "urgent displaces its own patient one", account: "large", weight: 1, p: settings.PatienceShort, shed: "large-3"},
		{name: "heavy account is within its share", account: "large", weight: 9, p: settings.PatienceNormal, shed: "other"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := fairqueue.Queue[string]{Limit: 4}
			q.Push("large-1", "large", c.weight, settings.PatienceNormal)
			q.Push("large-2", "large", c.weight, settings.PatienceNormal)
			q.Push("large-3", "large", c.weight, settings.PatienceNormal)
			q.Push("other", "other", 1, settings.PatienceNormal)
			shed, ok := q.Push("arrival", c.account, c.weight, c.p)
			must.True(t, ok)
			must.EqOp(t, c.shed, shed)
			must.EqOp(t, 4, q.Len())
			must.True(t, q.Consistent())
		})
	}
}

// Any order of calls keeps the counters consistent, and each value leaves the queue at
// most once.
func TestRandomCalls(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := fairqueue.Queue[int]{Limit: 8}
		accounts := []ids.Account{"a", "b", "c"}
		owner := map[int]ids.Account{}
		running := []ids.Account{}
		ended := map[int]int{}
		for v := range 500 {
			a := accounts[rng.IntN(3)]
			owner[v] = a
			if shed, ok := q.Push(v, a, units.Weight(rng.IntN(4)), settings.PatienceNormal); ok {
				ended[shed]++
			}
			if rng.IntN(2) == 0 {
				if p, ok := q.Pop(); ok {
					ended[p]++
					running = append(running, owner[p])
				}
			}
			if gone := rng.IntN(v + 1); rng.IntN(3) == 0 && q.Remove(gone) {
				ended[gone]++
			}
			if len(running) > 3 {
				q.Done(running[0])
				running = running[1:]
			}
			must.True(t, q.Consistent())
			must.EqOp(t, len(running), q.Running())
		}
		must.EqOp(t, 500, len(ended)+q.Len())
		for _, n := range ended {
			must.EqOp(t, 1, n)
		}
	}
}

func TestAhead(t *testing.T) {
	q := fairqueue.Queue[int]{Limit: 100}
	for i := range 50 {
		q.Push(i, "big", 1, settings.PatienceNormal)
	}
	must.EqOp(t, 50, q.Ahead("big", 1, settings.PatienceNormal))
	must.EqOp(t, 1, q.Ahead("small", 1, settings.PatienceNormal))
}
