// Package meshd is the command line of the daemon that runs on a platform.
//
// # Usage
//
//	os.Exit(meshd.Main(os.Args[1:], os.Stdout, os.Stderr))
package meshd

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/commandline"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return int(commandline.RunDaemon(args, stdout, stderr, loadSettings, func(file string, set settings.Mesh) error { return run(file, set, stdout) }))
}

func loadSettings(file string) (settings.Mesh, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return settings.Mesh{}, errorx.Decorate(err, "read settings")
	}
	return settings.LoadMesh(file, text)
}

// run serves until the process receives SIGINT or SIGTERM.
func run(file string, set settings.Mesh, stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := &Daemon{File: file, Settings: set, Stdout: stdout}
	return d.Run(ctx)
}
