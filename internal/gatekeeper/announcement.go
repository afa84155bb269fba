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
	// DefaultTTL is how long an announcement holds that names no other time.
	defaultTTL    = 30 * time.Second
	sweepInterval = time.Second
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	ID      ids.Target
	Service ids.Service
	Address ids.Address
	Slots   int
	WarmUp  time.Duration
	// TTL is how long the announcement holds without a renewal; zero stands for
	// DefaultTTL.
	TTL time.Duration
}

// Announce adds a target or renews it. Requests in flight go on, also when the
// slots or the address change.
func (g *Gatekeeper) Announce(a Announcement) {
	if a.TTL <= 0 {
		a.TTL = defaultTTL
	}
	if g.applyAnnouncement(a, g.Common.Clock.Now()) {
		g.publishTargets()
	}
}

// renew reports whether the fleet needs to hear of the announcement.
func (g *Gatekeeper) applyAnnouncement(a Announcement, now units.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targets == nil {
		g.targets = map[ids.Target]*target{}
	}
	t, ok := g.targets[a.ID]
	if ok && t.announcement.Service != a.Service {
		t.queue.close()
		t.closeIdle()
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

// DrainTarget marks a target as leaving: it gets no new work.
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

// expire drains the targets whose announcement was not renewed, and forgets
// those that have left and run nothing any more.
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

// measure sets the gauges of work at the targets.
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

// sweep reports whether a target changed.
func (g *Gatekeeper) sweep(now units.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, t := range g.targets {
		switch {
		case t.leaving && t.queue.idle():
			t.closeIdle()
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

// publish tells the fleet about the targets of this VM.
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
