// Package lifecycle says whether the daemon is ready, and ends it without cutting off
// a request.
//
// # Usage
//
//	if l.Ready() { ... }
//
// It needs every service that takes part in serving requests, so the kernel stops it
// first, while all of them still run.
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
	// notReadyDelay is how long callers keep coming after the daemon said that it is not
	// ready: the platform asks every second and believes the second answer.
	notReadyDelay = 2500 * time.Millisecond
	// drainShare is the part of the grace in which requests are not broken off: five sixths,
	// as the platform's operators promise, and a little for their last answers.
	drainShare = 0.85
	// exitReserve is left of the grace for the end of the process.
	exitReserve = 500 * time.Millisecond
	// publishTimeout is for telling the fleet.
	publishTimeout = time.Second
)

// Lifecycle is the first service to stop.
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
	return []service.Name{"config", "gate", "peerserver", "door"}
}

// Start implements service.Service.
func (l *Lifecycle) Start(_ context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "config", &l.config),
		kernel.Bind(f, "gate", &l.gate),
		kernel.Bind(f, "peerserver", &l.peers),
		kernel.Bind(f, "door", &l.ingress),
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

// Stop tells everyone that the daemon ends and waits for the requests in flight.
func (l *Lifecycle) Stop(ctx context.Context) error {
	l.stopping.Store(true)
	stopStart := l.Common.Clock.Now()
	ctx, cancel := l.Common.Clock.Within(ctx, l.Common.Mesh.Bounds.Grace-exitReserve)
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

// drain waits for the requests in flight, and ends those that last too long before the
// process is killed, so that their callers and those behind them get an answer.
func (l *Lifecycle) drain(ctx context.Context, stopStart units.Instant) error {
	remaining := time.Duration(drainShare*float64(l.Common.Mesh.Bounds.Grace)) - l.Common.Clock.Now().Sub(stopStart)
	drainCtx, cancel := l.Common.Clock.Within(ctx, remaining)
	defer cancel()
	if errors.Join(l.ingress.Wait(drainCtx), l.peers.Wait(drainCtx)) == nil {
		return nil
	}
	l.ingress.Abort()
	return errors.Join(l.ingress.Wait(ctx), l.peers.Wait(ctx))
}

func (l *Lifecycle) publishStopping(ctx context.Context) {
	ctx, cancel := l.Common.Clock.Within(ctx, publishTimeout)
	defer cancel()
	if err := l.gate.PublishStopping(ctx); err != nil {
		l.Common.Warn(event.OwnUnsaid, common.Cause(err))
	}
}
