package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/balancer"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/units"
)

const service = ids.Service("andrade/payments")

func candidates(near, far int) []directory.Candidate {
	var list []directory.Candidate
	for i := range near + far {
		c := directory.Candidate{Daemon: ids.Daemon(fmt.Sprint("vm", i)), Centre: "north", Region: "home"}
		if i >= near {
			c.Centre = "south"
		}
		c.Target = member.Target{ID: ids.Target(fmt.Sprint("t", i)), Service: service, Slots: 4}
		list = append(list, c)
	}
	return list
}

func newBalancer() *balancer.Balancer {
	return &balancer.Balancer{Self: "vm1", Centre: "north", Region: "home"}
}

// counts picks n times at one instant and returns how often each target was picked.
func counts(b *balancer.Balancer, now units.Instant, list []directory.Candidate, n int) map[ids.Target]int {
	rng := rand.New(rand.NewPCG(1, 2))
	seen := map[ids.Target]int{}
	for range n {
		seen[list[b.Pick(rng, now, service, list, nil)].ID]++
	}
	return seen
}

func report(b *balancer.Balancer, now units.Instant, id ids.Target, busy int) {
	b.UpdateLoad(now, call.Load{Target: id, InFlight: busy, Slots: 4, Typical: 10 * time.Millisecond})
}

func TestPick(t *testing.T) {
	cases := []struct {
		name  string
		list  []directory.Candidate
		setup func(b *balancer.Balancer, list []directory.Candidate)
		want  func(seen map[ids.Target]int) bool
	}{
		{
			name: "own data centre first", list: candidates(3, 3),
			want: func(seen map[ids.Target]int) bool { return seen["t0"]+seen["t1"]+seen["t2"] == 1000 },
		},
		{
			name: "yields when the near ones are full", list: candidates(1, 1),
			setup: func(b *balancer.Balancer, _ []directory.Candidate) { report(b, 0, "t0", 8) },
			want:  func(seen map[ids.Target]int) bool { return seen["t1"] == 1000 },
		},
		{
			name: "own requests count before any report", list: candidates(2, 0),
			setup: func(b *balancer.Balancer, _ []directory.Candidate) { b.Begin(0, "t0") },
			want:  func(seen map[ids.Target]int) bool { return seen["t1"] > 700 },
		},
		{
			name: "ended requests count no more", list: candidates(2, 0),
			setup: func(b *balancer.Balancer, _ []directory.Candidate) {
				b.Begin(0, "t0")
				b.End("t0")
			},
			want: func(seen map[ids.Target]int) bool { return seen["t1"] > 400 && seen["t1"] < 600 },
		},
		{
			name: "avoids what can't be reached", list: candidates(2, 0),
			setup: func(b *balancer.Balancer, _ []directory.Candidate) { b.RecordFailure(0, "t0") },
			want:  func(seen map[ids.Target]int) bool { return seen["t1"] == 1000 },
		},
		{
			name: "uses a failing target rather than none", list: candidates(1, 0),
			setup: func(b *balancer.Balancer, _ []directory.Candidate) { b.RecordFailure(0, "t0") },
			want:  func(seen map[ids.Target]int) bool { return seen["t0"] == 1000 },
		},
		{
			name: "widens when its subset fails", list: candidates(20, 0),
			setup: func(b *balancer.Balancer, list []directory.Candidate) {
				for id := range counts(b, 0, list, 1000) {
					b.RecordFailure(0, id)
				}
			},
			want: func(seen map[ids.Target]int) bool { return len(seen) == 8 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer()
			if c.setup != nil {
				c.setup(b, c.list)
			}
			must.True(t, c.want(counts(b, 0, c.list, 1000)))
		})
	}
}

// Each daemon uses few targets of a large service; all daemons together use all that
// are in their data centre.
func TestSubset(t *testing.T) {
	list := candidates(40, 40)
	all := map[ids.Target]bool{}
	for d := range 60 {
		b := &balancer.Balancer{Self: ids.Daemon(fmt.Sprint("vm", d)), Centre: "north", Region: "home"}
		seen := counts(b, 0, list, 300)
		must.Between(t, 8, len(seen), 12)
		for id := range seen {
			all[id] = true
		}
	}
	must.MapLen(t, 40, all)
}

// A target that warms up gets a small share of requests that grows until the end of
// its warm-up.
func TestSlowStart(t *testing.T) {
	list := candidates(4, 0)
	list[0].WarmUp = 100 * time.Second
	b := newBalancer()
	for _, step := range []struct {
		at    time.Duration
		least int
		most  int
	}{{0, 50, 200}, {50 * time.Second, 400, 700}, {100 * time.Second, 850, 1150}} {
		n := counts(b, units.Instant(step.at), list, 4000)["t0"]
		must.Between(t, step.least, n, step.most)
	}
}

func TestForget(t *testing.T) {
	b := newBalancer()
	for i := range 100 {
		b.UpdateLoad(0, call.Load{Target: ids.Target(fmt.Sprint(i))})
	}
	b.Begin(0, "busy")
	b.EvictUnused(units.Instant(2 * time.Minute))
	must.EqOp(t, 1, b.Len())
}
