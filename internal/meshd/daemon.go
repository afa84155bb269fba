package meshd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/linelog"
	"balsamwharf.example/balsamwharf/internal/mesh/admission"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/feed"
	"balsamwharf.example/balsamwharf/internal/mesh/forward"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/ingress"
	"balsamwharf.example/balsamwharf/internal/mesh/lifecycle"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/loadreport"
	"balsamwharf.example/balsamwharf/internal/mesh/loadview"
	"balsamwharf.example/balsamwharf/internal/mesh/memory"
	"balsamwharf.example/balsamwharf/internal/mesh/metricsserver"
	"balsamwharf.example/balsamwharf/internal/mesh/peerserver"
	"balsamwharf.example/balsamwharf/internal/mesh/peersync"
	"balsamwharf.example/balsamwharf/internal/mesh/quota"
	"balsamwharf.example/balsamwharf/internal/mesh/reachable"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/router"
	"balsamwharf.example/balsamwharf/internal/mesh/tally"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/platform/control"
	"balsamwharf.example/balsamwharf/platform/dialect"
	"balsamwharf.example/balsamwharf/platform/document"
	"balsamwharf.example/balsamwharf/platform/store"
)

// Daemon is one daemon on a platform.
type Daemon struct {
	// File is the settings file, which is read again on SIGHUP.
	File     string
	Settings settings.Mesh
	Stdout   io.Writer

	kernel kernel.Kernel
	level  zap.AtomicLevel
}

// Run serves until the context ends, and then blocks until the requests in flight have ended.
func (d *Daemon) Run(ctx context.Context) error {
	// A SIGHUP that arrives while the services start must not end the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	level, err := zap.ParseAtomicLevel(d.Settings.Logging.Level)
	if err != nil {
		return errorx.Decorate(err, "log level")
	}
	d.level = level
	logger, flush := linelog.Open(d.Stdout, d.level, units.Rate(d.Settings.Logging.Lines))
	defer flush()
	logger = logger.With(zap.String("by", string(d.Settings.Identity.Daemon)))
	return d.serve(ctx, &common.Common{
		Log: logger, Mesh: d.Settings, Clock: &timer.Timer{}, Metrics: metrics.NewRegistry(),
		Invariant: &invariant.Invariant{Log: logger},
	}, hangup)
}

func (d *Daemon) serve(ctx context.Context, c *common.Common, hangup <-chan os.Signal) error {
	for _, s := range services(c) {
		d.kernel.Add(s)
	}
	if err := d.kernel.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	identity := d.Settings.Identity
	c.Info(event.DaemonStarted, zap.String("daemon", string(identity.Daemon)), zap.String("centre", string(identity.Centre)),
		zap.String("service", string(d.Settings.Target.Service)), zap.String("callers", string(d.Settings.Sockets.Callers)))
	d.wait(ctx, c, hangup)
	c.Info(event.DaemonStopping)
	err := d.kernel.Stop(d.Settings.Bounds.Grace)
	c.Info(event.DaemonStopped, common.Cause(err))
	return err
}

// wait blocks until the context ends, and reloads the settings on each SIGHUP.
func (d *Daemon) wait(ctx context.Context, c *common.Common, hangup <-chan os.Signal) {
	for {
		select {
		case <-hangup:
			d.reloadSettings(c)
		case <-ctx.Done():
			return
		}
	}
}

// reloadSettings applies the only setting that can change while the daemon runs, the log
// level. A change of any other setting, such as an address, needs a restart, which the
// platform makes.
func (d *Daemon) reloadSettings(c *common.Common) {
	set, err := loadSettings(d.File)
	if err != nil {
		c.Warn(event.SettingsReloaded, common.Cause(err))
		return
	}
	level, err := zapcore.ParseLevel(set.Logging.Level)
	if err != nil {
		c.Warn(event.SettingsReloaded, common.Cause(err))
		return
	}
	d.level.SetLevel(level)
	ignoringLevel := set
	ignoringLevel.Logging.Level = d.Settings.Logging.Level
	c.Info(event.SettingsReloaded, zap.Bool("restart", ignoringLevel != d.Settings))
}

// services returns all services of the daemon. The lifecycle is the last one, so that the
// kernel stops it first.
func services(c *common.Common) []service.Service {
	client := tally.Store{Next: store.New("http://" + string(c.Mesh.Store.Address)), Metrics: c.Metrics}
	translate := dialect.Dialect{}
	return []service.Service{
		c.Clock,
		&metricsserver.Server{Common: c},
		&memory.Memory{Common: c},
		&evacuation.Table{Common: c},
		&config.Config{Common: c, Store: client, Read: document.Read},
		&registry.Registry{Common: c, Store: client},
		&link.Link{},
		&reachable.Tracker{Common: c},
		&loadview.Table{},
		&gate.Gate{Common: c, Dialect: translate},
		&quota.Quota{Common: c},
		&peersync.Syncer{Common: c},
		&feed.Feed{Common: c},
		&loadreport.Reporter{Common: c},
		&admission.Admission{Common: c},
		&forward.Forward{Common: c},
		&router.Router{Common: c},
		&peerserver.Server{Common: c},
		&ingress.Ingress{Common: c, Dialect: translate},
		&control.Control{Common: c},
		&lifecycle.Lifecycle{Common: c},
	}
}
