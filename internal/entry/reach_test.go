package entry

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
)

// A hop counts as a failure of the gatekeeper only when the gatekeeper itself was not
// reached.
func TestNoteReach(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	late, stop := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer stop()
	cases := []struct {
		name   string
		ctx    context.Context
		to     ids.Daemon
		answer *call.Answer
		err    error
		avoid  bool
	}{
		{name: "answered", answer: &call.Answer{}},
		{name: "refused", answer: &call.Answer{}, err: unrun},
		{name: "not reached", err: unrun, avoid: true},
		{name: "lost", err: maybe, avoid: true},
		{name: "caller gave up", ctx: ended, err: maybe},
		{name: "no answer in time", ctx: late, err: maybe},
		{name: "not reached in time", ctx: late, err: unrun, avoid: true},
		{name: "this daemon", to: "vm0", err: unrun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, &peers{}, func(t *testing.T, e *Entry) {
				ctx, to := t.Context(), ids.Daemon("vm1")
				if c.ctx != nil {
					ctx = c.ctx
				}
				if c.to != "" {
					to = c.to
				}
				now := e.Common.Clock.Now()
				for range 2 {
					e.recordReach(ctx, to, c.answer, c.err, now)
				}
				must.EqOp(t, c.avoid, e.reach.Avoid(to, now))
			})
		})
	}
}

// Targets of unreachable gatekeepers are not picked while there are others, but are picked
// when there are none.
func TestPassesOver(t *testing.T) {
	run(t, &peers{}, func(t *testing.T, e *Entry) {
		list := e.directory.Targets("a/s")
		fail := func(d ids.Daemon) {
			for range 2 {
				e.reach.Record(d, false, e.Common.Clock.Now())
			}
		}
		for _, c := range list[1:] {
			fail(c.Daemon)
		}
		for range 100 {
			must.EqOp(t, 0, e.pickTarget("a/s", list, map[ids.Target]bool{}))
		}
		must.GreaterEq(t, 1, e.pickTarget("a/s", list, map[ids.Target]bool{list[0].ID: true}))
		fail(list[0].Daemon)
		must.GreaterEq(t, 0, e.pickTarget("a/s", list, map[ids.Target]bool{}))
	})
}
