package gate

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/breaker"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/retrylimiter"
	"balsamwharf.example/balsamwharf/internal/mesh/starts"
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

// Start returns the start of the backend server that the announcement is of.
func (a Announcement) Start() ids.Start { return ids.Start{Target: a.Target, At: a.StartedAt} }

// registryTimeout bounds how long the first announcement waits until the registry is
// loaded. It and publishTimeout together leave time to answer within one second.
const registryTimeout = 300 * time.Millisecond

// publishTimeout bounds how long an announcement waits for the store. The backend
// server calls the next daemon after one second without an answer.
const publishTimeout = 600 * time.Millisecond

// HandleAnnouncement applies an announcement and writes a change of the target to the
// registry. It blocks for at most registryTimeout and publishTimeout. When it returns, no
// further request goes to a backend server that is leaving, even if the store failed. It returns
// an error, and the announcement must not be acknowledged, if the backend server leaves and it is
// not certain yet that it is the one that runs.
func (g *Gate) HandleAnnouncement(ctx context.Context, a Announcement) error {
	g.awaitRegistry(ctx)
	verdict, changed := g.apply(a)
	if verdict == starts.Unconfirmed && a.State == registry.Leaving {
		return errorx.IllegalState.New("another start of the backend server announced itself later")
	}
	if !changed {
		return nil
	}
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := g.publish(ctx); err != nil && a.State != registry.Ready {
		g.Common.Warn(event.RegistrationWriteFailed, zap.String("target", string(a.Target)), common.Cause(err))
	}
	return nil
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
		g.starts.End(g.target.Start())
		g.setState(registry.Deregistered)
		return true
	}
	if g.deregistered == nil || len(g.deregistered) >= maxDeregistered {
		g.deregistered = map[ids.Target]bool{}
	}
	g.deregistered[t] = true
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
// ended. The first announcement that arrives tells, since a new start under the same id counts
// its announcements from 1 again. The caller holds the lock.
func (g *Gate) isDeregistered(a Announcement) bool {
	if !g.deregistered[a.Target] {
		return false
	}
	delete(g.deregistered, a.Target)
	if a.Seq <= maxFirstSeq {
		return false
	}
	g.starts.End(a.Start())
	return true
}

// apply applies the announcement if it is the newest one. It also reports whether the
// registry must be updated.
func (g *Gate) apply(a Announcement) (v starts.Verdict, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v = g.order(a); v != starts.Newest {
		g.Common.Info(event.TargetIgnored, zap.String("target", string(a.Target)), zap.String("why", string(v)),
			zap.Int64("born", a.StartedAt), zap.Uint64("seq", a.Seq), zap.String("state", string(a.State)))
		return v, false
	}
	before := g.target
	if before.Start() != a.Start() {
		g.breaker, g.latency = breaker.Breaker{}, 0
		g.client.CloseIdle()
	}
	if before.Service != a.Service {
		g.retries = g.newRetryLimiter()
	}
	g.target = a
	g.learnWarmth(before, a)
	g.slots = max(a.Slots, 1)
	g.setState(a.State)
	changed = before.Start() != a.Start() || before.State != a.State || before.Service != a.Service || before.Slots != a.Slots
	if changed {
		g.Common.Info(event.TargetAnnounced, zap.String("target", string(a.Target)), zap.String("service", string(a.Service)),
			zap.String("state", string(a.State)), zap.Int64("born", a.StartedAt), zap.Uint64("seq", a.Seq), zap.Int("slots", int(a.Slots)))
	}
	return v, changed
}

// newRetryLimiter returns the retry limiter for a service that is new to this process.
func (g *Gate) newRetryLimiter() retrylimiter.Limiter {
	b := g.Common.Mesh.Bounds
	return retrylimiter.Limiter{Window: b.BudgetWindow, Ratio: b.BudgetRatio, Extra: b.BudgetExtra, StartedAt: g.Common.Clock.Now()}
}

// order returns how to treat the announcement. The registration that an earlier process of this
// daemon wrote counts too: a target that it shows as leaving or deregistered must not become ready
// again by an announcement that arrives long after it was sent. The caller holds the lock.
func (g *Gate) order(a Announcement) starts.Verdict {
	if g.isDeregistered(a) {
		return starts.Old
	}
	if old, ok := g.registry.Previous(); ok && old.Target != "" {
		start := ids.Start{Target: old.Target, At: old.StartedAt}
		g.starts.Restore(start)
		if old.State == registry.Deregistered {
			g.starts.End(start)
		}
		if a.Start() == start && g.target.Start() != start && old.State == registry.Leaving && a.State != registry.Leaving {
			return starts.Old
		}
	}
	return g.starts.Observe(a.Start(), a.Seq, a.State == registry.Leaving, g.Common.Clock.Now())
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
// context ends. The gate's lock is not held meanwhile, because order reads the registry
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
