package gatekeeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// defaultTTL is how long an announcement without a TTL is valid.
	defaultTTL = 30 * time.Second
	// sweepInterval is the time between two searches for expired and idle targets.
	sweepInterval = time.Second
)

// Announcement is the state that a backend server reports of itself.
type Announcement struct {
	ID      ids.Target
	Service ids.Service
	Address ids.Address
	Slots   int
	// WarmUp is how long the backend server is slow after its start.
	WarmUp time.Duration
	// TTL is how long the announcement is valid without a renewal; zero or less
	// stands for defaultTTL.
	TTL time.Duration
}

// Announce adds a target or renews it, and publishes a change to the fleet. Requests
// in flight continue, also when the slots or the address change. It may be called
// concurrently.
func (g *Gatekeeper) Announce(a Announcement) {
	if a.TTL <= 0 {
		a.TTL = defaultTTL
	}
	if g.applyAnnouncement(a, g.Common.Clock.Now()) {
		g.publishTargets()
	}
}

// applyAnnouncement stores an announcement and reports whether the target changed, so
// that it must be published. A target that is announced for another service is
// replaced.
func (g *Gatekeeper) applyAnnouncement(a Announcement, now units.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targets == nil {
		g.targets = map[ids.Target]*target{}
	}
	t, ok := g.targets[a.ID]
	if ok && t.announcement.Service != a.Service {
		t.queue.close()
		t.close()
		ok = false
	}
	if !ok {
		g.targets[a.ID] = newTarget(g, a, now)
		g.track(a)
		if g.draining {
			g.targets[a.ID].queue.close()
		}
		return true
	}
	t.renewedAt = now
	changed := t.announcement != a || t.leaving
	if !changed {
		return false
	}
	t.update(a, now)
	g.track(a)
	if g.draining {
		t.queue.close()
	}
	return true
}

// DrainTarget marks a target as leaving and publishes that to the fleet. New and queued
// requests are refused, those in flight continue. It returns false if no such target
// is announced.
func (g *Gatekeeper) DrainTarget(id ids.Target) bool {
	g.mu.Lock()
	t, ok := g.targets[id]
	if ok {
		t.drain()
	}
	g.mu.Unlock()
	if ok {
		g.publishTargets()
	}
	return ok
}

// runSweeps sweeps the targets periodically and updates the gauges until the context
// ends.
func (g *Gatekeeper) runSweeps(ctx context.Context) {
	sub := g.Common.Clock.Every(sweepInterval)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			if g.sweep(now) {
				g.publishTargets()
			}
			g.updateGauges()
		case <-ctx.Done():
			return
		}
	}
}

// updateGauges sets the metrics of the queued requests and of those in flight.
func (g *Gatekeeper) updateGauges() {
	queued, inFlight := 0, 0
	g.mu.Lock()
	for _, t := range g.targets {
		l := t.load()
		queued += l.Queued
		inFlight += l.InFlight
	}
	g.mu.Unlock()
	metric.Queued.Gauge(g.Common.Metrics).Update(int64(queued))
	metric.InFlight.Gauge(g.Common.Metrics).Update(int64(inFlight))
}

// sweep drains the targets whose announcement expired, removes leaving targets that
// have no request in flight, and reports whether a change must be published.
func (g *Gatekeeper) sweep(now units.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, t := range g.targets {
		switch {
		case t.leaving && t.queue.idle():
			t.close()
			delete(g.targets, id)
			g.ejector.Untrack(id)
			changed = true
		case !t.leaving && now.Sub(t.renewedAt) > t.announcement.TTL:
			t.drain()
			g.Common.Warn(event.TargetExpired, zap.String("target", string(id)))
			changed = true
		case !t.warmUpPublished && now.Sub(t.addedAt) >= t.announcement.WarmUp:
			t.warmUpPublished = true
			changed = changed || t.announcement.WarmUp > 0
		}
	}
	return changed
}

// publishTargets publishes the targets of this VM to the fleet through gossip.
func (g *Gatekeeper) publishTargets() {
	g.gossip.Update(func(m *member.Member) {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.Targets = nil
		now := g.Common.Clock.Now()
		for _, t := range g.targets {
			m.Targets = append(m.Targets, t.describe(now))
		}
		g.ejector.MarkEjected(m)
	})
}
