// Package lifecycle reports whether the daemon is ready, and stops it without cutting off
// requests.
//
// # Usage
//
//	if l.Ready() { ... }
//
// It needs every service that takes part in serving requests, so the kernel stops it first,
// while all of them still run.
package lifecycle

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/ingress"
	"balsamwharf.example/balsamwharf/internal/mesh/peerserver"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// notReadyDelay is for how long callers keep sending requests after the daemon reports that it
	// is not ready: the platform polls every second and acts on the second such answer.
	notReadyDelay = 2500 * time.Millisecond
	// drainShare is the share of the grace period in which no request is aborted: five sixths, as
	// the platform's operators promise, and a little more for the last answers.
	drainShare = 0.85
	// exitReserve is what is left of the grace period for the end of the process.
	exitReserve = 500 * time.Millisecond
	// publishTimeout bounds the update of the fleet's registry.
	publishTimeout = time.Second
)

// Lifecycle tracks the start and the stop of the daemon. The kernel stops it first.
type Lifecycle struct {
	Common *common.Common

	config   *config.Config
	gate     *gate.Gate
	peers    *peerserver.Server
	ingress  *ingress.Ingress
	started  atomic.Bool
	stopping atomic.Bool
}

// Name implements service.Service.
func (l *Lifecycle) Name() service.Name { return "lifecycle" }

// Needs implements service.Service.
func (l *Lifecycle) Needs() []service.Name {
	return []service.Name{"config", "gate", "peerserver", "ingress"}
}

// Start implements service.Service.
func (l *Lifecycle) Start(_ context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "config", &l.config),
		kernel.Bind(f, "gate", &l.gate),
		kernel.Bind(f, "peerserver", &l.peers),
		kernel.Bind(f, "ingress", &l.ingress),
	); err != nil {
		return err
	}
	l.started.Store(true)
	return nil
}

// Ready reports whether callers may send requests.
func (l *Lifecycle) Ready() bool {
	if !l.started.Load() || l.stopping.Load() {
		return false
	}
	_, ok := l.config.Policy()
	return ok
}

// Stop reports the daemon as not ready and blocks until the requests in flight have ended, for
// at most the grace period.
func (l *Lifecycle) Stop(ctx context.Context) error {
	l.stopping.Store(true)
	stopStart := l.Common.Clock.Now()
	ctx, cancel := l.Common.Clock.WithTimeout(ctx, l.Common.Mesh.Bounds.Grace-exitReserve)
	defer cancel()
	l.ingress.DisableKeepAlive()
	l.peers.Close()
	go l.publishStopping(ctx)
	if err := l.Common.Clock.Sleep(ctx, notReadyDelay); err != nil {
		return err
	}
	l.ingress.Close()
	return l.drain(ctx, stopStart)
}

// drain waits for the requests in flight. It aborts those that last too long before the
// process is killed, so that their callers and requests queued behind them get an answer.
func (l *Lifecycle) drain(ctx context.Context, stopStart units.Instant) error {
	remaining := time.Duration(drainShare*float64(l.Common.Mesh.Bounds.Grace)) - l.Common.Clock.Now().Sub(stopStart)
	drainCtx, cancel := l.Common.Clock.WithTimeout(ctx, remaining)
	defer cancel()
	if errors.Join(l.ingress.Wait(drainCtx), l.peers.Wait(drainCtx)) == nil {
		return nil
	}
	l.ingress.Abort()
	return errors.Join(l.ingress.Wait(ctx), l.peers.Wait(ctx))
}

// publishStopping writes to the fleet's registry that the daemon is stopping.
func (l *Lifecycle) publishStopping(ctx context.Context) {
	ctx, cancel := l.Common.Clock.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := l.gate.PublishStopping(ctx); err != nil {
		l.Common.Warn(event.RegistrationWriteFailed, common.Cause(err))
	}
}
