package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/breaker"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/retrylimiter"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Announcement is the state that the backend server of this VM reports of itself.
type Announcement struct {
	Target  ids.Target
	Service ids.Service
	Address ids.Address
	Slots   units.Slots
	State   registry.State
	// WarmUp is how much longer the backend server is slow after its start.
	WarmUp time.Duration
	// StartedAt is when the backend server started, in Unix milliseconds by its own clock.
	// Log lines and the announcement itself call it "born".
	StartedAt int64
	// Seq orders the announcements since one start.
	Seq uint64
}

// registryTimeout bounds how long the first announcement waits until the registry is
// loaded. It and publishTimeout together leave time to answer within one second.
const registryTimeout = 300 * time.Millisecond

// publishTimeout bounds how long an announcement waits for the store. The backend
// server calls the next daemon after one second without an answer.
const publishTimeout = 600 * time.Millisecond

// HandleAnnouncement applies an announcement and writes a change of the target to the
// registry. It blocks for at most registryTimeout and publishTimeout. When it returns, no
// further request goes to a backend server that is leaving, even if the store failed.
func (g *Gate) HandleAnnouncement(ctx context.Context, a Announcement) {
	g.awaitRegistry(ctx)
	changed := g.apply(a)
	if !changed {
		return
	}
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := g.publish(ctx); err != nil && a.State != registry.Ready {
		g.Common.Warn(event.RegistrationWriteFailed, zap.String("target", string(a.Target)), common.Cause(err))
	}
}

// awaitRegistry waits until the registry has what an earlier process of this daemon wrote.
// When the store is unavailable, the announcement alone decides after registryTimeout.
func (g *Gate) awaitRegistry(ctx context.Context) {
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, registryTimeout)
	defer cancel()
	_ = g.registry.AwaitLoaded(ctx)
}

// Deregister stops requests to a backend server that announced its end, and writes that to
// the registry. It blocks for at most publishTimeout. A target that this process does not
// know, because the process started lately, is remembered for its late announcements.
func (g *Gate) Deregister(ctx context.Context, t ids.Target) {
	if !g.markDeregistered(t) {
		g.Common.Info(event.TargetIgnored, zap.String("target", string(t)), zap.String("state", string(registry.Deregistered)))
		return
	}
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := g.publish(ctx); err != nil {
		g.Common.Warn(event.RegistrationWriteFailed, zap.String("target", string(t)), common.Cause(err))
	}
}

// markDeregistered records that the target has ended. It reports whether the registry
// must be updated.
func (g *Gate) markDeregistered(t ids.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.Target == t {
		g.setState(registry.Deregistered)
		return true
	}
	if g.deregistered == nil || len(g.deregistered) >= maxDeregistered {
		g.deregistered = map[ids.Target]int64{}
	}
	g.deregistered[t] = 0
	return false
}

const (
	// maxDeregistered bounds how many targets are remembered that were deregistered before
	// they were announced to this process.
	maxDeregistered = 16
	// maxFirstSeq is the highest number that the first announcement of a start to arrive
	// may have: earlier ones can get lost.
	maxFirstSeq = 3
)

// isDeregistered reports whether the announcement is a late one of a target that was
// deregistered before this process knew it. At that time it is not known which start
// ended. The first late announcement tells, since a new start under the same id counts
// its announcements from 1 again. The caller holds the lock.
func (g *Gate) isDeregistered(a Announcement) bool {
	startedAt, ok := g.deregistered[a.Target]
	if !ok {
		return false
	}
	if startedAt == 0 && a.Seq > maxFirstSeq {
		g.deregistered[a.Target] = a.StartedAt
		return true
	}
	if a.StartedAt <= startedAt {
		return true
	}
	delete(g.deregistered, a.Target)
	return false
}

// apply applies the announcement unless a newer one is known. It reports whether the
// registry must be updated.
func (g *Gate) apply(a Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isNewer(a) {
		g.Common.Info(event.TargetIgnored, zap.String("target", string(a.Target)),
			zap.Int64("born", a.StartedAt), zap.Uint64("seq", a.Seq), zap.String("state", string(a.State)))
		return false
	}
	before := g.target
	if before.Target != a.Target || before.StartedAt != a.StartedAt {
		g.breaker, g.latency = breaker.Breaker{}, 0
		g.client.CloseIdle()
	}
	if before.Service != a.Service {
		g.retries = g.newRetryLimiter()
	}
	g.target = a
	g.warmUntil = g.Common.Clock.Now().Add(a.WarmUp)
	g.slots = max(a.Slots, 1)
	g.setState(a.State)
	changed := before.Target != a.Target || before.StartedAt != a.StartedAt || before.State != a.State ||
		before.Service != a.Service || before.Slots != a.Slots
	if changed {
		g.Common.Info(event.TargetAnnounced, zap.String("target", string(a.Target)), zap.String("service", string(a.Service)),
			zap.String("state", string(a.State)), zap.Int64("born", a.StartedAt), zap.Uint64("seq", a.Seq), zap.Int("slots", int(a.Slots)))
	}
	return changed
}

// newRetryLimiter returns the retry limiter for a service that is new to this process.
func (g *Gate) newRetryLimiter() retrylimiter.Limiter {
	b := g.Common.Mesh.Bounds
	return retrylimiter.Limiter{Window: b.BudgetWindow, Ratio: b.BudgetRatio, Extra: b.BudgetExtra, StartedAt: g.Common.Clock.Now()}
}

// isNewer reports whether the announcement is newer than what is known. The registration
// that an earlier process of this daemon wrote counts too: a target that it shows as
// leaving or deregistered must not become ready again by an announcement that arrives
// long after it was sent. The caller holds the lock.
func (g *Gate) isNewer(a Announcement) bool {
	if g.isDeregistered(a) {
		return false
	}
	if a.Target == g.target.Target && a.StartedAt == g.target.StartedAt {
		return a.Seq > g.target.Seq && g.target.State != registry.Deregistered
	}
	if g.target.Target != "" && a.StartedAt < g.target.StartedAt {
		return false
	}
	old, ok := g.registry.Previous()
	if ok && old.Target == a.Target && old.StartedAt == a.StartedAt {
		return old.State != registry.Deregistered && (old.State != registry.Leaving || a.State == registry.Leaving)
	}
	return true
}

// setState changes the target's state and declines the waiting requests unless it is
// ready. The caller holds the lock.
func (g *Gate) setState(s registry.State) {
	g.target.State = s
	if s != registry.Ready {
		g.declineWaiting(link.ReasonLeaving)
	}
}

// publish writes the target's state to the registry and waits until it is stored or the
// context ends. The gate's lock is not held meanwhile, because isNewer reads the registry
// under it.
func (g *Gate) publish(ctx context.Context) error {
	g.publishing.Lock()
	settled := g.registry.UpdateOwn(g.registrationUpdate())
	g.publishing.Unlock()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// registrationUpdate returns a function that brings this daemon's registration up to date.
func (g *Gate) registrationUpdate() func(*registry.Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	target, slots, stopping := g.target, g.slots, g.stopping
	return func(own *registry.Registration) {
		own.Service, own.Target, own.Slots = target.Service, target.Target, slots
		own.State, own.StartedAt, own.Stopping = target.State, target.StartedAt, stopping
	}
}

// PublishStopping writes to the registry that this daemon is stopping and blocks until
// that is stored or the context ends. Requests of this daemon's own callers still reach
// the backend server, which keeps running.
func (g *Gate) PublishStopping(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	return g.publish(ctx)
}
