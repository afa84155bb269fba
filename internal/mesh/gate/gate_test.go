package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/breaker"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/keyedstub"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// withGate runs a test with a gate whose target has announced itself with two slots.
func withGate(t *testing.T, test func(t *testing.T, g *Gate)) {
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Mesh.Sockets.Peers, c.Mesh.Identity.Centre = "vm1:1", "quito"
		c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, time.Second
		c.Mesh.Bounds.BudgetWindow, c.Mesh.Bounds.BudgetExtra = 10*time.Second, 10
		g := &Gate{Common: c}
		var k kernel.Kernel
		k.Add(c.Clock)
		k.Add(&registry.Registry{Common: c, Store: &keyedstub.Stub{}})
		k.Add(&evacuation.Table{Common: c})
		k.Add(&config.Config{Common: c, Store: &keyedstub.Stub{}, Read: readPolicy})
		k.Add(g)
		must.NoError(t, k.Start(t.Context()))
		defer func() { must.NoError(t, k.Stop(time.Second)) }()
		g.HandleAnnouncement(t.Context(), announcement(1, registry.Ready))
		test(t, g)
	})
}

// readPolicy reads a configuration that consists of its version alone. Targets of the service bear
// 15 requests a second while they are cold, from version 2 on.
func readPolicy(raw []byte) (*policy.Policy, error) {
	b := policy.Builder{Version: ids.Version(raw[0])}
	if b.Version >= 2 {
		b.Service(policy.Service{ID: "quotes", ColdRate: 15, HealthPath: "/health"})
	}
	return b.Policy(), nil
}

func announcement(seq uint64, s registry.State) Announcement {
	return Announcement{Target: "i-1", Service: "quotes", Address: "vm1:2", Slots: 2, State: s, StartedAt: 100, Seq: seq}
}

func terms(change ...func(*request.Terms)) request.Terms {
	t := request.Terms{Service: "quotes", Idempotent: true, Remaining: 5 * time.Second, MaxQueueTime: 2 * time.Second, Rank: 2}
	for _, c := range change {
		c(&t)
	}
	return t
}

// reserve reserves a slot and fails the test if the request is declined.
func reserve(t *testing.T, g *Gate) *Slot {
	t.Helper()
	s, declined := g.Reserve(t.Context(), terms(), nil)
	must.Nil(t, declined)
	return s
}

// refusal returns why the gate declines a request, or "" if it does not.
func refusal(t *testing.T, g *Gate) link.Reason {
	t.Helper()
	slot, declined := g.Reserve(t.Context(), terms(), nil)
	if declined != nil {
		return declined.Reason
	}
	slot.Release()
	return ""
}

// No more requests run than the target has slots. Waiting requests run in this order:
// nested ones first, then by rank, then by deadline, then by arrival.
func TestQueueOrder(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		first, second := reserve(t, g), reserve(t, g)
		order := make(chan string, 8)
		for _, w := range []struct {
			name  string
			terms request.Terms
		}{
			{"low", terms()},
			{"urgent", terms(func(t *request.Terms) { t.Rank = 1 })},
			{"low too", terms()},
			{"pressed", terms(func(t *request.Terms) { t.MaxQueueTime = time.Second })},
			{"inner", terms(func(t *request.Terms) { t.Nested, t.Rank = true, 9 })},
		} {
			go func() {
				s, declined := g.Reserve(t.Context(), w.terms, nil)
				if declined == nil {
					order <- w.name
					time.Sleep(time.Millisecond)
					s.Release()
				}
			}()
			synctest.Wait()
		}
		must.EqOp(t, 5, g.Load().Waiting)
		must.EqOp(t, 2, g.Load().Running)
		first.Release()
		for _, want := range []string{"inner", "urgent", "pressed", "low", "low too"} {
			must.EqOp(t, want, <-order)
		}
		second.Release()
		time.Sleep(10 * time.Millisecond) // until the last one has released its slot
		must.EqOp(t, 0, g.Load().Running)
	})
}

// A request is declined when it is expected to wait, or has waited, for longer than is of
// use, and it leaves the queue when its sender gives up.
func TestQueueTimeout(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		reserve(t, g)
		reserve(t, g)
		_, declined := g.Reserve(t.Context(), terms(func(t *request.Terms) { t.MaxQueueTime = time.Millisecond }), nil)
		must.EqOp(t, link.ReasonOverloaded, declined.Reason)
		began := time.Now()
		queued := false
		_, declined = g.Reserve(t.Context(), terms(func(t *request.Terms) { t.MaxQueueTime = 300 * time.Millisecond }), func() { queued = true })
		must.EqOp(t, link.ReasonOverloaded, declined.Reason)
		must.True(t, queued)
		must.EqOp(t, 300*time.Millisecond, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, declined = g.Reserve(ctx, terms(), nil)
		must.NotNil(t, declined)
		must.EqOp(t, 0, g.Load().Waiting)
	})
}

// When the target begins to leave, waiting requests are declined, and slots that were
// granted before are not used.
func TestDraining(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		slot := reserve(t, g)
		reserve(t, g)
		done := make(chan *link.Declined, 1)
		go func() {
			_, declined := g.Reserve(t.Context(), terms(), nil)
			done <- declined
		}()
		synctest.Wait()
		g.HandleAnnouncement(t.Context(), announcement(2, registry.Leaving))
		must.EqOp(t, link.ReasonLeaving, (<-done).Reason)
		_, declined := g.Reserve(t.Context(), terms(), nil)
		must.EqOp(t, link.ReasonLeaving, declined.Reason)
		must.NotNil(t, slot.stale())
	})
}

// Announcements that are older than the known state change nothing.
func TestOldAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		then   []Announcement
		reason link.Reason
	}{
		{name: "ready arrives late after leaving", then: []Announcement{announcement(5, registry.Leaving), announcement(4, registry.Ready)}, reason: link.ReasonLeaving},
		{name: "ready again after leaving", then: []Announcement{announcement(5, registry.Leaving), announcement(6, registry.Ready)}},
		{name: "announcement of an earlier start", then: []Announcement{{Target: "i-0", Service: "quotes", Slots: 1, State: registry.Leaving, StartedAt: 50, Seq: 99}}},
		{name: "a new start under the old id", then: []Announcement{announcement(5, registry.Leaving), {Target: "i-1", Service: "quotes", Slots: 1, State: registry.Ready, StartedAt: 200, Seq: 1}}},
		{name: "another service", then: []Announcement{{Target: "i-2", Service: "payments", Slots: 1, State: registry.Ready, StartedAt: 200, Seq: 1}}, reason: link.ReasonNoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withGate(t, func(t *testing.T, g *Gate) {
				for _, a := range c.then {
					g.HandleAnnouncement(t.Context(), a)
				}
				_, declined := g.Reserve(t.Context(), terms(), nil)
				if c.reason == "" {
					must.Nil(t, declined)
					return
				}
				must.EqOp(t, c.reason, declined.Reason)
			})
		})
	}
}

// What a target announces after it started again counts although its clock has jumped back:
// guards against draining that is acknowledged and ignored, and a target that is out for good.
func TestStartAfterClockJump(t *testing.T) {
	restarted := func(target ids.Target, seq uint64, s registry.State) Announcement {
		return Announcement{Target: target, Service: "quotes", Slots: 2, State: s, StartedAt: 40, Seq: seq}
	}
	for _, target := range []ids.Target{"i-1", "i-2"} {
		t.Run(string(target), func(t *testing.T) {
			withGate(t, func(t *testing.T, g *Gate) {
				for seq := uint64(1); seq <= 3; seq++ {
					time.Sleep(1500 * time.Millisecond)
					must.NoError(t, g.HandleAnnouncement(t.Context(), restarted(target, seq, registry.Ready)))
				}
				must.EqOp(t, target, reserve(t, g).target.Target)
				must.NoError(t, g.HandleAnnouncement(t.Context(), announcement(9, registry.Ready)))
				must.NoError(t, g.HandleAnnouncement(t.Context(), restarted(target, 4, registry.Leaving)))
				must.NoError(t, g.HandleAnnouncement(t.Context(), announcement(10, registry.Ready)))
				must.EqOp(t, link.ReasonLeaving, refusal(t, g))
			})
		})
	}
	t.Run("draining at once", func(t *testing.T) {
		withGate(t, func(t *testing.T, g *Gate) {
			must.NoError(t, g.HandleAnnouncement(t.Context(), restarted("i-1", 1, registry.Leaving)))
			must.EqOp(t, link.ReasonLeaving, refusal(t, g))
		})
	})
	t.Run("after the end", func(t *testing.T) {
		withGate(t, func(t *testing.T, g *Gate) {
			g.Deregister(t.Context(), "i-1")
			for seq := uint64(1); seq <= 2; seq++ {
				time.Sleep(1500 * time.Millisecond)
				must.NoError(t, g.HandleAnnouncement(t.Context(), restarted("i-1", seq, registry.Ready)))
			}
			must.NotNil(t, reserve(t, g))
		})
	})
}

// That a target drains is not acknowledged while it is not certain that the announcement is of
// the start that runs.
func TestUnconfirmedDraining(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		newer := announcement(1, registry.Ready)
		newer.StartedAt = 200
		must.NoError(t, g.HandleAnnouncement(t.Context(), newer))
		must.Error(t, g.HandleAnnouncement(t.Context(), announcement(7, registry.Leaving)))
		must.NotNil(t, reserve(t, g))
	})
}

// Announcements that arrive after their target was deregistered change nothing, and the
// deregistration of another target does not affect this one.
func TestDeregistered(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		g.Deregister(t.Context(), "i-other")
		must.NotNil(t, reserve(t, g))
		g.Deregister(t.Context(), "i-1")
		g.HandleAnnouncement(t.Context(), announcement(9, registry.Ready))
		_, declined := g.Reserve(t.Context(), terms(), nil)
		must.EqOp(t, link.ReasonLeaving, declined.Reason)
	})
}

// A target that is deregistered before it was announced to this process gets no requests
// when its announcements arrive late. A new start under the same id does.
func TestDeregisteredBeforeAnnounced(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		late := func(seq uint64) Announcement {
			return Announcement{Target: "i-9", Service: "quotes", Slots: 2, State: registry.Ready, StartedAt: 500, Seq: seq}
		}
		g.Deregister(t.Context(), "i-9")
		g.HandleAnnouncement(t.Context(), late(17))
		g.HandleAnnouncement(t.Context(), late(2))
		must.EqOp(t, "i-1", reserve(t, g).target.Target)
		fresh := late(1)
		fresh.StartedAt = 600
		g.HandleAnnouncement(t.Context(), fresh)
		g.HandleAnnouncement(t.Context(), Announcement{Target: "i-9", Service: "quotes", Slots: 2, State: registry.Ready, StartedAt: 600, Seq: 9})
		must.EqOp(t, "i-9", reserve(t, g).target.Target)
	})
}

// A failed answer does not count against the target when a nested request failed while it
// was being made, which explains it.
func TestNestedFailure(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		time.Sleep(time.Second)
		g.RecordNestedFailure(g.Common.Clock.Now())
		for range 5 {
			g.recordFailure(&Slot{gate: g}, g.Common.Clock.Now(), time.Millisecond)
		}
		must.False(t, g.breaker.Open())
		time.Sleep(time.Second)
		for range 2 {
			g.recordFailure(&Slot{gate: g}, g.Common.Clock.Now(), time.Millisecond)
		}
		must.True(t, g.breaker.Open())
	})
}

// An open breaker declines requests, but admits one idempotent request at a time as a
// probe after its pause.
func TestBreaker(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		g.breaker.Record(g.Common.Clock.Now(), breaker.Broken)
		_, declined := g.Reserve(t.Context(), terms(), nil)
		must.EqOp(t, link.ReasonBreakerOpen, declined.Reason)
		must.True(t, declined.Load.BreakerOpen)
		time.Sleep(time.Second)
		_, declined = g.Reserve(t.Context(), terms(func(t *request.Terms) { t.Idempotent = false }), nil)
		must.EqOp(t, link.ReasonBreakerOpen, declined.Reason)
		slot := reserve(t, g)
		must.True(t, slot.probe)
		_, declined = g.Reserve(t.Context(), terms(), nil)
		must.NotNil(t, declined)
		slot.Release()
		must.True(t, reserve(t, g).probe)
	})
}

// When the breaker opens, waiting requests are declined, and slots that were granted before
// are not used, except by requests that ignore the breaker.
func TestBreakerOpens(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		failing, granted := reserve(t, g), reserve(t, g)
		done := make(chan *link.Declined, 1)
		go func() {
			_, declined := g.Reserve(t.Context(), terms(), nil)
			done <- declined
		}()
		synctest.Wait()
		failing.end(t.Context(), "a", g.Common.Clock.Now(), outcome.Broken{Sent: true})
		must.EqOp(t, link.ReasonBreakerOpen, (<-done).Reason)
		must.Eq[outcome.Outcome](t, outcome.Broken{Detail: "the target began to fail"}, granted.stale())
		granted.terms.IgnoreBreaker = true
		must.Nil(t, granted.stale())
	})
}

// Retries are admitted until the retry limiter has none left. A retry that does not reach
// the target is refunded.
func TestRetryBudget(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		retry := terms(func(t *request.Terms) { t.Retry = true })
		must.EqOp(t, 0, g.Load().RetriesLeft)
		time.Sleep(g.Common.Mesh.Bounds.BudgetWindow)
		left := g.Load().RetriesLeft
		must.Positive(t, left)
		for range 2 * left {
			slot, declined := g.Reserve(t.Context(), retry, nil)
			must.Nil(t, declined)
			must.EqOp(t, left-1, g.Load().RetriesLeft)
			slot.Release()
		}
		must.EqOp(t, left, g.Load().RetriesLeft)
		for range left {
			slot, declined := g.Reserve(t.Context(), retry, nil)
			must.Nil(t, declined)
			slot.end(t.Context(), "a", g.Common.Clock.Now(), outcome.Unrun{})
		}
		_, declined := g.Reserve(t.Context(), retry, nil)
		must.EqOp(t, link.ReasonRetryBudget, declined.Reason)
		must.NotNil(t, reserve(t, g))
	})
}

// An announcement and PublishStopping that run at the same time must not deadlock: one reads
// the registry under the gate's lock, and the other updates the registry with the gate's
// state.
func TestAnnounceWhilePublishing(t *testing.T) {
	c := common.Discard()
	c.Mesh.Sockets.Peers = "vm1:1"
	c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, time.Second
	g := &Gate{Common: c}
	var k kernel.Kernel
	k.Add(c.Clock)
	k.Add(&registry.Registry{Common: c, Store: &keyedstub.Stub{}})
	k.Add(&evacuation.Table{Common: c})
	k.Add(&config.Config{Common: c, Store: &keyedstub.Stub{}, Read: readPolicy})
	k.Add(g)
	must.NoError(t, k.Start(t.Context()))
	defer func() { must.NoError(t, k.Stop(time.Second)) }()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			_ = g.PublishStopping(ended)
		}
	}()
	for i := range 20000 {
		g.HandleAnnouncement(ended, Announcement{Target: "i-1", Service: "quotes", Slots: 2, State: registry.Ready, StartedAt: int64(100 + i), Seq: 1})
	}
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("an announcement and PublishStopping deadlock")
	}
}
