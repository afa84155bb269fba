package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/units"
)

// begin reserves a slot and counts the request as sent; it reports whether both went well.
func begin(t *testing.T, g *Gate, id string) (*Slot, bool) {
	t.Helper()
	s, declined := g.Reserve(t.Context(), terms(), nil)
	if declined != nil {
		return nil, false
	}
	if s.start(g.Common.Clock.Now(), ids.Call(id)) != nil {
		s.Release()
		return nil, false
	}
	return s, true
}

// Load pattern: requests as fast as the target answers, while it is cold. No more than it bears
// reaches it in a second, the others are declined at once so that they go elsewhere, and the load
// report says so.
func TestColdTarget(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		time.Sleep(2 * time.Second)
		g.config.ApplyNewer([]byte{2}, "test")
		a := announcement(2, registry.Ready)
		a.WarmUp = 4 * time.Second
		must.NoError(t, g.HandleAnnouncement(t.Context(), a))
		declined := 0
		var sent []time.Time
		for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			s, ok := begin(t, g, "")
			if !ok {
				declined++
				continue
			}
			sent = append(sent, time.Now())
			s.end(t.Context(), "", g.Common.Clock.Now(), nil)
		}
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			must.LessEq(t, 15, i-first+1)
		}
		must.Greater(t, 30, len(sent))
		must.Greater(t, 500, declined)
		must.EqOp(t, link.ReasonCold, refusal(t, g))
		load := g.Load()
		must.Positive(t, load.WarmUp)
		must.EqOp(t, 0, load.ColdRoom)
	})
}

// An evacuated data centre gets no new requests: those that wait are declined, a slot that was granted
// is not used, and one that runs ends. Afterwards the slots open one after the other.
func TestEvacuation(t *testing.T) {
	withGate(t, func(t *testing.T, g *Gate) {
		running, granted := reserve(t, g), reserve(t, g)
		must.Nil(t, running.start(g.Common.Clock.Now(), "1"))
		waiting := make(chan *link.Declined)
		go func() {
			_, declined := g.Reserve(t.Context(), terms(), nil)
			waiting <- declined
		}()
		synctest.Wait()
		g.evacuation.Record("quito", true, keyed.Position{Next: 1})
		must.EqOp(t, link.ReasonEvacuated, (<-waiting).Reason)
		must.NotNil(t, granted.start(g.Common.Clock.Now(), "2"))
		granted.Release()
		must.EqOp(t, link.ReasonEvacuated, refusal(t, g))
		must.EqOp(t, 1, g.Load().Running)
		running.end(t.Context(), "1", g.Common.Clock.Now(), nil)
		g.evacuation.Record("quito", false, keyed.Position{Next: 2})
		must.EqOp(t, units.Slots(1), g.Load().Slots)
		must.EqOp(t, link.Reason(""), refusal(t, g))
		time.Sleep(takeBackTime + time.Millisecond)
		must.EqOp(t, units.Slots(2), g.Load().Slots)
		g.evacuation.Record("valle", true, keyed.Position{Next: 3})
		must.EqOp(t, link.Reason(""), refusal(t, g))
	})
}
