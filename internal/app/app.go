// Package app assembles the services of one daemon and runs them.
//
// # Usage
//
//	a := &app.App{Settings: s, Certs: c, Log: log, Logger: logger}
//	err := a.Run(ctx) // blocks until ctx ends, then stops gracefully
package app

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/accept"
	"balsamwharf.example/balsamwharf/internal/announce"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/dial"
	"balsamwharf.example/balsamwharf/internal/drain"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ingress"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/operators"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/renew"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// stopTimeout is the time that each service has to finish its work. It may be long,
// since requests in flight are bounded by their own deadlines.
const stopTimeout = 10 * time.Minute

// App is one daemon. Set the exported fields before Start.
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

// Start opens the sockets without a fixed port and starts the daemon's services.
// The services outlive ctx; Stop ends them.
func (a *App) Start(ctx context.Context) error {
	if err := a.Sockets.openUnassigned(&a.Settings.Listen); err != nil {
		return err
	}
	c := &common.Common{
		Log:       a.Logger,
		Settings:  a.Settings,
		Clock:     &timer.Timer{},
		Metrics:   metrics.NewRegistry(),
		Invariant: &invariant.Invariant{Log: a.Logger},
	}
	a.common = c
	deps := Dependencies{Log: a.Log, Dial: &dial.Dialer{Common: c, Certs: a.Certs}}
	for _, s := range append(Services(c, deps), a.listeners()...) {
		a.kernel.Add(s)
	}
	if err := a.kernel.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	listen := a.Settings.Listen
	c.Info(event.DaemonStarted,
		zap.String("daemon", string(a.Settings.Identity.Daemon)),
		zap.String("callers", string(listen.Callers)),
		zap.String("peers", string(listen.Peers)),
		zap.String("operators", string(listen.Operators)),
		zap.String("announce", string(listen.Announce)))
	return nil
}

// listeners returns the services that own sockets or certificates, and the one that
// drains them on shutdown.
func (a *App) listeners() []service.Service {
	c := a.common
	return []service.Service{
		&renew.Reloader{Common: c, Certs: a.Certs},
		&accept.Server{Common: c, Certs: a.Certs, Socket: a.Sockets.Peers},
		&announce.Server{Common: c, Listener: a.Sockets.Announce},
		&operators.Server{Common: c, Log: a.Log, Certs: a.Certs, Level: a.Level, Listener: a.Sockets.Operators},
		&ingress.Ingress{Common: c, Listener: a.Sockets.Callers},
		&drain.Drainer{Common: c},
	}
}

// Stop finishes the requests in flight and stops the services. Call it only after a
// successful Start.
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
