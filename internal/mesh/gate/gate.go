// Package gate is the gatekeeper of the backend server of this VM: it admits, queues or
// declines requests for it.
//
// # Usage
//
//	slot, declined := g.Reserve(ctx, terms, queued)
//	if declined != nil { ... } // the request has not run
//	result, load := slot.Run(ctx, outbound)
//
// All requests to a backend server go through the daemon of its VM, and the backend server
// announces itself to that daemon only. So draining, the breaker, the slots and the queue
// are local state, on which daemons need not agree.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lru"
	"balsamwharf.example/balsamwharf/internal/mesh/appclient"
	"balsamwharf.example/balsamwharf/internal/mesh/breaker"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/mesh/retrylimiter"
	"balsamwharf.example/balsamwharf/internal/mesh/starts"
	"balsamwharf.example/balsamwharf/internal/mesh/warmup"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// queueFactor bounds how many requests wait, as a multiple of the slots.
	queueFactor = 8
	// latencyWeight is the weight of the newest duration in the moving average.
	latencyWeight = 0.1
	// stallFactor, a multiple of the average latency, and minStallTimeout distinguish a
	// target that hangs from a request that takes long.
	stallFactor     = 3
	minStallTimeout = 400 * time.Millisecond
	// maxTrackedCalls is how many of the latest requests are checked for running only once:
	// those of a minute at 70 requests/s.
	maxTrackedCalls = 4096
	// defaultLatency is the assumed duration of a request until one was measured.
	defaultLatency = 200 * time.Millisecond
)

// Gate is the gatekeeper of one backend server. Its methods may be called from several
// goroutines.
type Gate struct {
	Common  *common.Common
	Dialect appclient.Dialect

	config     *config.Config
	evacuation *evacuation.Table
	registry   *registry.Registry
	client     *appclient.Client
	// ctx ends with the daemon.
	ctx context.Context

	// publishing keeps registry updates in the order of the state changes. It is acquired
	// before mu, never while mu is held.
	publishing sync.Mutex

	mu        sync.Mutex
	target    Announcement
	starts    starts.Order
	warmUntil units.Instant
	// warmth limits the requests to a target that may be cold, and probing is set while the target is
	// asked whether it is.
	warmth  warmup.Limiter
	probing bool
	// evacuated is set while the data centre is evacuated, and takenBackAt once it was taken back,
	// until all slots are open again.
	evacuated   bool
	takenBackAt units.Instant
	// deregistered holds targets that were deregistered before they were announced.
	deregistered map[ids.Target]bool
	slots        units.Slots
	breaker      breaker.Breaker
	retries      retrylimiter.Limiter
	running      int
	// runningRetries counts the running requests that another target received before.
	runningRetries int
	queue          queue
	latency        time.Duration
	// trackedCalls holds the latest requests that reached the target and must not reach it
	// again.
	trackedCalls lru.Cache[ids.Call, bool]
	// nestedFailedAt is when a request that the target made last failed.
	nestedFailedAt units.Instant
	// stopping is set when the daemon stops.
	stopping bool
}

// Name implements service.Service.
func (g *Gate) Name() service.Name { return "gate" }

// Needs implements service.Service.
func (g *Gate) Needs() []service.Name {
	return []service.Name{"timer", "config", "evacuation", "registry"}
}

// Start implements service.Service.
func (g *Gate) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(kernel.Bind(f, "config", &g.config), kernel.Bind(f, "evacuation", &g.evacuation)); err != nil {
		return err
	}
	g.ctx = ctx
	g.warmth.KnownSince = g.Common.Clock.Now()
	g.evacuation.Subscribe(g.evacuationChanged)
	g.evacuationChanged()
	g.trackedCalls.Limit = maxTrackedCalls
	g.client = &appclient.Client{Address: g.Common.Mesh.Target.Address, Dialect: g.Dialect, Clock: g.Common.Clock, Limits: g.Common.Mesh.Answers}
	return errors.Join(kernel.Bind(f, "registry", &g.registry), g.registerMetrics())
}

func (g *Gate) registerMetrics() error {
	r := g.Common.Metrics
	return errors.Join(
		metric.InFlight.Follow(r, func() int64 { return int64(g.Load().Running) }),
		metric.Queued.Follow(r, func() int64 { return int64(g.Load().Waiting) }),
		metric.WarmUpTime.Follow(r, func() int64 { return g.Load().WarmUp.Milliseconds() }),
		metric.RetryBudget.Follow(r, func() int64 { return int64(g.Load().RetriesLeft) }),
		metric.BreakerOpen.Follow(r, func() int64 {
			if g.Load().BreakerOpen {
				return 1
			}
			return 0
		}),
	)
}

// Stop implements service.Service.
func (g *Gate) Stop(context.Context) error {
	g.client.CloseIdle()
	return nil
}

// Load returns the current load report, which is sent to other daemons with each answer.
func (g *Gate) Load() request.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gate) load() request.Load {
	now := g.Common.Clock.Now()
	l := request.Load{Running: g.running, Waiting: g.queue.Len(), Slots: g.openSlots(now), TypicalLatency: g.latency}
	if l.WarmUp = g.warmth.Cold(now); l.WarmUp > 0 {
		l.ColdRoom = max(g.warmth.Room(now), 0)
	}
	l.RetriesLeft = max(int(g.retries.Remaining(now, g.gatekeeperCount())), 0)
	if g.breaker.Open() {
		l.BreakerOpen, l.ProbeIn = true, g.breaker.ProbeIn(now)
	}
	return l
}

// gatekeeperCount returns how many gatekeepers share the service's extra retries.
func (g *Gate) gatekeeperCount() int { return len(g.registry.Serving(g.target.Service)) }

// WarmUp returns how much longer the target is slow after its start, or zero.
func (g *Gate) WarmUp() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.warmUntil.Sub(g.Common.Clock.Now()), 0)
}

// Reserve blocks until the request may run and returns its slot, on which the caller must
// call Run or Release. Otherwise it returns why the request was declined; such a request
// has not run. queued, if not nil, is called once if the request has to wait.
func (g *Gate) Reserve(ctx context.Context, t request.Terms, queued func()) (*Slot, *link.Declined) {
	w, declined := g.enqueue(t)
	if declined != nil {
		return nil, declined
	}
	select {
	case end := <-w.done:
		return w.slot, end
	default:
	}
	if queued != nil {
		queued()
	}
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, t.MaxQueueTime)
	defer cancel()
	select {
	case end := <-w.done:
		return w.slot, end
	case <-ctx.Done():
		return g.abandon(w)
	}
}

// enqueue admits, queues or declines a request without blocking.
func (g *Gate) enqueue(t request.Terms) (*waiter, *link.Declined) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.ineligible(t); reason != "" {
		return nil, &link.Declined{Reason: reason, Load: g.load()}
	}
	probe, ok := g.checkBreaker(t)
	if !ok {
		return nil, &link.Declined{Reason: link.ReasonBreakerOpen, Load: g.load()}
	}
	now := g.Common.Clock.Now()
	w := &waiter{terms: t, done: make(chan *link.Declined, 1), deadline: now.Add(t.MaxQueueTime)}
	if t.Retry && !g.retries.Acquire(now, g.gatekeeperCount()) {
		if probe {
			g.breaker.CancelProbe()
		}
		return nil, &link.Declined{Reason: link.ReasonRetryBudget, Load: g.load()}
	}
	if !g.admitCold(now) {
		g.revertRetry(t, now)
		if probe {
			g.breaker.CancelProbe()
		}
		return nil, &link.Declined{Reason: link.ReasonCold, Load: g.load()}
	}
	w.slot = &Slot{gate: g, terms: t, target: g.target, probe: probe, queuedAt: now, deadline: now.Add(t.Remaining)}
	if !g.queue.Push(w, queueFactor*int(g.slots)) {
		g.revert(w.slot)
		return nil, &link.Declined{Reason: link.ReasonOverloaded, Load: g.load()}
	}
	g.startWaiting()
	if !w.started && g.wouldTimeOut(w) {
		g.queue.Remove(w)
		g.revert(w.slot)
		return nil, &link.Declined{Reason: link.ReasonOverloaded, Load: g.load()}
	}
	return w, nil
}

// ineligible returns why the target can't run requests of the service now, or "". The
// caller holds the lock.
func (g *Gate) ineligible(t request.Terms) link.Reason {
	switch {
	case g.target.Target == "" || g.target.Service != t.Service:
		return link.ReasonNoTarget
	case g.target.State != registry.Ready:
		return link.ReasonLeaving
	case g.evacuated:
		return link.ReasonEvacuated
	}
	return ""
}

// checkBreaker reports whether the request may pass the breaker, and whether it does so as
// a probe. The caller holds the lock.
func (g *Gate) checkBreaker(t request.Terms) (probe, ok bool) {
	switch g.breaker.Allow(g.Common.Clock.Now(), t.Idempotent) {
	case breaker.Admit:
		return false, true
	case breaker.Probe:
		return true, true
	default:
		return false, t.IgnoreBreaker
	}
}

// wouldTimeOut reports whether the request is expected to wait longer than is of use. The
// caller holds the lock.
func (g *Gate) wouldTimeOut(w *waiter) bool {
	ahead := g.queue.Ahead(w)
	wait := time.Duration(float64(ahead+1) / float64(g.openSlots(g.Common.Clock.Now())) * float64(g.expectedLatency()))
	return wait > w.terms.MaxQueueTime
}

// expectedLatency returns the moving average of the requests' durations. The caller holds
// the lock.
func (g *Gate) expectedLatency() time.Duration {
	if g.latency == 0 {
		return defaultLatency
	}
	return g.latency
}

// startWaiting starts waiting requests while slots are free. The caller holds the lock.
func (g *Gate) startWaiting() {
	for g.running < int(g.openSlots(g.Common.Clock.Now())) {
		w, ok := g.queue.Pop()
		if !ok {
			return
		}
		w.started = true
		g.addRunning(w.terms)
		w.done <- nil
	}
}

// addRunning and removeRunning count a running request. The caller holds the lock.
func (g *Gate) addRunning(t request.Terms) {
	g.running++
	if t.Retry {
		g.runningRetries++
	}
}

func (g *Gate) removeRunning(t request.Terms) {
	g.running--
	if t.Retry {
		g.runningRetries--
	}
}

// RetryShare returns the fraction of retries among the running requests. Nested requests
// of a retry count as retries themselves, and since a target does not say which of its
// requests made a nested one, this fraction stands for it.
func (g *Gate) RetryShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == 0 {
		return 0
	}
	return float64(g.runningRetries) / float64(g.running)
}

// declineWaiting declines all waiting requests, so that they go to other targets. The
// caller holds the lock.
func (g *Gate) declineWaiting(r link.Reason) {
	for w, ok := g.queue.Pop(); ok; w, ok = g.queue.Pop() {
		g.revert(w.slot)
		w.done <- &link.Declined{Reason: r, Load: g.load()}
	}
}

// abandon removes a request whose waiting time is over or whose sender gave up.
func (g *Gate) abandon(w *waiter) (*Slot, *link.Declined) {
	g.mu.Lock()
	if !w.started {
		g.queue.Remove(w)
		g.revert(w.slot)
		g.mu.Unlock()
		return nil, &link.Declined{Reason: link.ReasonOverloaded, Load: g.Load()}
	}
	g.mu.Unlock()
	w.slot.Release()
	return nil, &link.Declined{Reason: link.ReasonOverloaded, Load: g.Load()}
}

// revert undoes what was counted for a request that does not reach the target: a probe of
// the breaker, a retry, and a request to a target that may be cold. The caller holds the lock.
func (g *Gate) revert(s *Slot) {
	g.cancelProbe(s)
	g.revertRetry(s.terms, g.Common.Clock.Now())
	if !s.sent {
		g.warmth.Cancel()
	}
}

func (g *Gate) revertRetry(t request.Terms, now units.Instant) {
	if t.Retry {
		g.retries.Refund(now)
	}
}

// cancelProbe ends the slot's probe, if it is one, without a result for the breaker.
func (g *Gate) cancelProbe(s *Slot) {
	if s.probe {
		g.breaker.CancelProbe()
	}
}
