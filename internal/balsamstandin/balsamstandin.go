// Package balsamstandin is the command line of the stand-in backend server. It
// announces itself to the daemon of its VM, renews the announcement and drains when
// it is told to stop.
//
// # Usage
//
//	os.Exit(balsamstandin.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The first line of the output is the server's URL.
package balsamstandin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"balsamwharf.example/balsamwharf/internal/commandline"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/serving"
	"balsamwharf.example/balsamwharf/internal/standin"
)

// Exit codes of balsamstandin.
const (
	exitOK     = 0
	exitFailed = 1
)

// options is the command line.
type options struct {
	Listen   string        `short:"l" long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"Address for the daemon; port 0 takes a free one"`
	Announce string        `long:"announce" required:"yes" value-name:"URL" description:"The daemon's address for announcements"`
	Name     ids.Target    `long:"name" required:"yes" description:"Name of this backend server"`
	Service  ids.Service   `long:"service" required:"yes" value-name:"TEAM/NAME" description:"Service that it belongs to"`
	Slots    int           `long:"slots" default:"4" description:"Requests that it takes at once"`
	Work     time.Duration `long:"work" default:"10ms" description:"Typical time of a request"`
}

// Main serves until the process is told to stop and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	if code, done := commandline.Parse(&o, args, stdout, stderr); done {
		return int(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// run serves and announces until ctx ends, and then drains.
func run(ctx context.Context, o options, stdout, stderr io.Writer) error {
	server, err := serving.Open(o.Listen, &standin.Standin{ID: o.Name, Work: o.Work})
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, server.URL())
	go announce(ctx, o, server.Address(), stderr)
	err = server.Run(ctx)
	return errors.Join(err, leave(o))
}
