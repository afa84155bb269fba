// Package balsamd implements the daemon's command: it reads the settings file and runs
// the daemon.
//
// # Usage
//
//	os.Exit(balsamd.Main(os.Args[1:], os.Stdout, os.Stderr))
package balsamd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/app"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/commandline"
	"balsamwharf.example/balsamwharf/internal/linelog"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/platform/store"
)

// Main parses the arguments, runs the daemon until it is stopped, and returns its exit
// code.
func Main(args []string, stdout, stderr io.Writer) int {
	return int(commandline.RunDaemon(args, stdout, stderr, loadSettings, func(_ string, cfg settings.Daemon) error { return run(cfg, stdout) }))
}

func loadSettings(file string) (settings.Daemon, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Daemon{}, errorx.Decorate(err, "read settings file")
	}
	return settings.Load(file, text)
}

// run serves until an interrupt or SIGTERM.
func run(cfg settings.Daemon, stdout io.Writer) error {
	identity, err := certs.Load(cfg.Trust)
	if err != nil {
		return err
	}
	level, err := zap.ParseAtomicLevel(cfg.Logging.Level)
	if err != nil {
		return errorx.Decorate(err, "parse log level")
	}
	logger, flush := linelog.Open(stdout, level, units.Rate(cfg.Logging.Lines))
	defer flush()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := store.Log{Client: store.New(cfg.Platform.Log)}
	a := &app.App{Settings: cfg, Certs: identity, Log: log, Logger: logger, Level: &level}
	return a.Run(ctx)
}
