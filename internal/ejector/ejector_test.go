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
	warmup    = 15 * time.Second
	detection = 2 * time.Second
	slack     = 100 * time.Millisecond
)

func TestEject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		_, failing := w.steward()
		w.traffic(warmup)
		must.Zero(t, w.out())
		w.traffic(detection, failing)
		must.True(t, failing.ejector.Ejected(failing.target))
		must.EqOp(t, 1, w.out())
		w.traffic(detection, failing)
		for _, n := range w.order {
			must.SliceLen(t, 4, n.directory.Targets(quotes))
		}
	})
}

// Marking a target as ejected must not write into a target slice that a reader
// already holds.
func TestMarkCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		_, failing := w.steward()
		w.traffic(warmup)
		before := failing.gossip.LocalMember()
		w.traffic(detection, failing)
		must.True(t, failing.gossip.LocalMember().Targets[0].Ejected)
		must.False(t, before.Targets[0].Ejected)
	})
}

// A gatekeeper that can't renew its permit readmits its target when the lease
// expires.
func TestLeaseLapses(t *testing.T) {
	cases := []struct {
		name string
		fail func(w *world, steward, failing *node)
	}{
		{name: "gatekeeper cut off", fail: func(w *world, _, failing *node) { w.set(w.cut, failing.id) }},
		{name: "steward cut off", fail: func(w *world, steward, _ *node) { w.set(w.cut, steward.id) }},
		{name: "steward not confirmed", fail: func(w *world, steward, _ *node) { w.set(w.unconfirmed, steward.id) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 5)
				steward, failing := w.steward()
				w.traffic(warmup)
				w.traffic(detection, failing)
				must.True(t, failing.ejector.Ejected(failing.target))
				c.fail(w, steward, failing)
				time.Sleep(floor.Lease)
				must.False(t, failing.ejector.Ejected(failing.target))
				must.True(t, failing.ejector.Admits(failing.target, false))
				time.Sleep(slack)
				must.False(t, failing.gossip.LocalMember().Targets[0].Ejected)
			})
		})
	}
}

// A new steward grants nothing until the permits of its predecessor have expired.
func TestStewardChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		steward, failing := w.steward()
		w.traffic(warmup)
		w.traffic(detection, failing)
		must.True(t, failing.ejector.Ejected(failing.target))
		w.set(w.left, steward.id)
		w.traffic(floor.Lease, failing)
		must.False(t, failing.ejector.Ejected(failing.target))
		w.traffic(detection+floor.ClockMargin, failing)
		must.True(t, failing.ejector.Ejected(failing.target))
	})
}

// With a floor of 60 percent six of fifteen slots may be ejected, so the third
// failing target stays in service.
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

// No target is ejected when all targets of the service fail alike.
func TestWholeService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.traffic(warmup)
		w.traffic(10*time.Second, w.order...)
		must.Zero(t, w.out())
	})
}

// A request that is never answered counts as hung before it ends. A request that
// the caller has not sent in full does not count against the target.
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
				failing := w.order[0]
				w.idle = failing
				for range 3 {
					observation := failing.ejector.Begin(failing.target, "")
					if c.sent {
						observation.MarkSent()
					}
				}
				w.traffic(detection)
				must.EqOp(t, c.out, w.out())
			})
		})
	}
}

// Requests that the caller cancelled are no evidence against a target.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.traffic(warmup)
		n := w.order[0]
		for range 100 {
			observation := n.ejector.Begin(n.target, "")
			observation.MarkSent()
			observation.End(sample.Cancelled{})
		}
		w.traffic(detection)
		must.Zero(t, w.out())
	})
}
