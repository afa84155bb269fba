package ejector_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/floor"
	"balsamwharf.example/balsamwharf/internal/sample"
)

const (
	warmup = 15 * time.Second
	found  = 2 * time.Second
	slack  = 100 * time.Millisecond
)

func TestEject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		_, sick := w.steward()
		w.traffic(warmup)
		must.Zero(t, w.out())
		w.traffic(found, sick)
		must.True(t, sick.ejector.Ejected(sick.target))
		must.EqOp(t, 1, w.out())
		w.traffic(found, sick)
		for _, n := range w.order {
			must.SliceLen(t, 4, n.directory.Targets(quotes))
		}
	})
}

// A list of targets that others already have doesn't change under them.
func TestMarkCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		_, sick := w.steward()
		w.traffic(warmup)
		before := sick.gossip.LocalMember()
		w.traffic(found, sick)
		must.True(t, sick.gossip.LocalMember().Targets[0].Ejected)
		must.False(t, before.Targets[0].Ejected)
	})
}

// A gatekeeper that can't renew its permit puts its target back at once.
func TestLeaseLapses(t *testing.T) {
	cases := []struct {
		name string
		fail func(w *world, steward, sick *node)
	}{
		{name: "gatekeeper cut off", fail: func(w *world, _, sick *node) { w.set(w.cut, sick.id) }},
		{name: "steward cut off", fail: func(w *world, steward, _ *node) { w.set(w.cut, steward.id) }},
		{name: "steward not confirmed", fail: func(w *world, steward, _ *node) { w.set(w.unconfirmed, steward.id) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 5)
				steward, sick := w.steward()
				w.traffic(warmup)
				w.traffic(found, sick)
				must.True(t, sick.ejector.Ejected(sick.target))
				c.fail(w, steward, sick)
				time.Sleep(floor.Lease)
				must.False(t, sick.ejector.Ejected(sick.target))
				must.True(t, sick.ejector.Admits(sick.target, false))
				time.Sleep(slack)
				must.False(t, sick.gossip.LocalMember().Targets[0].Ejected)
			})
		})
	}
}

// A new steward grants nothing until what its predecessor granted has lapsed.
func TestStewardChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		steward, sick := w.steward()
		w.traffic(warmup)
		w.traffic(found, sick)
		must.True(t, sick.ejector.Ejected(sick.target))
		w.set(w.left, steward.id)
		w.traffic(floor.Lease, sick)
		must.False(t, sick.ejector.Ejected(sick.target))
		w.traffic(found+floor.ClockMargin, sick)
		must.True(t, sick.ejector.Ejected(sick.target))
	})
}

// Of fifteen slots six may be out: the third failing target stays.
func TestFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.traffic(warmup)
		for i := range 4 {
			w.traffic(3*time.Second, w.order[:i+1]...)
			must.EqOp(t, min(i+1, 2), w.out())
		}
	})
}

// A failing service as a whole is no target's fault.
func TestWholeService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.traffic(warmup)
		w.traffic(10*time.Second, w.order...)
		must.Zero(t, w.out())
	})
}

// Requests that are never answered count before they end; a caller that is slow to
// send its request is not the target's fault.
func TestHangs(t *testing.T) {
	cases := []struct {
		name string
		sent bool
		out  int
	}{
		{name: "target hangs", sent: true, out: 1},
		{name: "caller hangs", sent: false, out: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 5)
				w.traffic(warmup)
				sick := w.order[0]
				w.idle = sick
				for range 3 {
					watch := sick.ejector.Begin(sick.target, "")
					if c.sent {
						watch.MarkSent()
					}
				}
				w.traffic(found)
				must.EqOp(t, c.out, w.out())
			})
		})
	}
}

// Waiting for a slot at our own gate is no latency, nor is a request that the
// caller gave up.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.traffic(warmup)
		n := w.order[0]
		for range 100 {
			watch := n.ejector.Begin(n.target, "")
			watch.MarkSent()
			watch.End(sample.Cancelled{})
		}
		w.traffic(found)
		must.Zero(t, w.out())
	})
}
