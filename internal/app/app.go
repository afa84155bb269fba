// Package app puts the services of one daemon together and runs them.
//
// # Usage
//
//	a := &app.App{Settings: s, Certs: c, Log: log, Logger: logger}
//	err := a.Run(ctx) // until ctx ends, then a graceful stop
package app

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/accept"
	"balsamwharf.example/balsamwharf/internal/announce"
	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/confirm"
	"balsamwharf.example/balsamwharf/internal/dial"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/dispatch"
	"balsamwharf.example/balsamwharf/internal/drain"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/front"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/guard"
	"balsamwharf.example/balsamwharf/internal/hop"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/limit"
	"balsamwharf.example/balsamwharf/internal/operators"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/relay"
	"balsamwharf.example/balsamwharf/internal/seating"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/snapshot"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// stopTimeout is the time that each service has to finish its work. Requests in
// flight are bounded by their own deadlines.
const stopTimeout = 10 * time.Minute

// App is one daemon.
type App struct {
	Settings settings.Daemon
	Certs    *certs.Certs
	Log      platformlog.Log
	Logger   *zap.Logger
	Sockets  Sockets
	// Level is the level of Logger, which operators may change; nil fixes it.
	Level *zap.AtomicLevel

	common *common.Common
	kernel kernel.Kernel
}

// Sockets are listeners that are already open; nil ones are opened at the
// addresses in the settings.
type Sockets struct {
	Callers   net.Listener
	Announce  net.Listener
	Operators net.Listener
	Peers     net.PacketConn
}

// Start starts the daemon's services.
func (a *App) Start(ctx context.Context) error {
	clock := &timer.Timer{}
	c := &common.Common{
		Log:       a.Logger,
		Settings:  a.Settings,
		Clock:     clock,
		Metrics:   metrics.NewRegistry(),
		Invariant: &invariant.Invariant{Log: a.Logger},
	}
	a.common = c
	a.kernel.Add(clock)
	a.kernel.Add(&directory.Directory{Clock: clock})
	a.kernel.Add(&tail.Tail{Common: c, Log: a.Log})
	a.kernel.Add(&relay.Relay{Common: c})
	a.kernel.Add(&publish.Publish{Common: c, Log: a.Log})
	a.kernel.Add(&snapshot.Snapshot{Common: c, Log: a.Log})
	a.kernel.Add(&limit.Limit{Common: c})
	a.kernel.Add(&dial.Dial{Common: c, Certs: a.Certs})
	a.kernel.Add(&gossip.Gossip{Common: c})
	a.kernel.Add(&force.Force{Common: c})
	a.kernel.Add(&confirm.Confirm{Common: c})
	a.kernel.Add(&permit.Permit{Common: c})
	a.kernel.Add(&ejector.Ejector{Common: c})
	a.kernel.Add(&seating.Seating{Common: c, Log: a.Log})
	a.kernel.Add(&lender.Lender{Common: c})
	a.kernel.Add(&guard.Guard{Common: c})
	a.kernel.Add(&gatekeeper.Gatekeeper{Common: c})
	a.kernel.Add(&hop.Hop{Common: c})
	a.kernel.Add(&dispatch.Dispatch{Common: c})
	a.kernel.Add(&accept.Accept{Common: c, Certs: a.Certs, Socket: a.Sockets.Peers})
	a.kernel.Add(&announce.Announce{Common: c, Listener: a.Sockets.Announce})
	a.kernel.Add(&burn.Burn{Common: c})
	a.kernel.Add(&operators.Operators{Common: c, Log: a.Log, Certs: a.Certs, Level: a.Level, Listener: a.Sockets.Operators})
	a.kernel.Add(&entry.Entry{Common: c})
	a.kernel.Add(&front.Front{Common: c, Listener: a.Sockets.Callers})
	a.kernel.Add(&drain.Drain{Common: c})
	if err := a.kernel.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	c.Info(event.DaemonStarted, zap.String("daemon", string(a.Settings.Identity.Daemon)))
	return nil
}

// Stop finishes the requests in flight and stops the services.
func (a *App) Stop() error {
	a.common.Info(event.DaemonStopping)
	err := a.kernel.Stop(stopTimeout)
	a.common.Info(event.DaemonStopped)
	return err
}

// Run starts the daemon, waits until ctx ends and stops it.
func (a *App) Run(ctx context.Context) error {
	if err := a.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return a.Stop()
}
