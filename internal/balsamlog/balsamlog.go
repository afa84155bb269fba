// Package balsamlog is the command line of the stand-in log service. It keeps its
// records in memory.
//
// # Usage
//
//	os.Exit(balsamlog.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The first line of the output is the URL for the daemons' settings.
package balsamlog

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"balsamwharf.example/balsamwharf/internal/commandline"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/serving"
	"balsamwharf.example/balsamwharf/platform/standin"
)

// Exit codes of balsamlog.
const (
	exitOK     = 0
	exitFailed = 1
)

// options is the command line.
type options struct {
	Listen string `short:"l" long:"listen" default:"127.0.0.1:0" value-name:"IP:PORT" description:"Address for the daemons; port 0 takes a free one"`
}

// Main serves until the process is told to stop and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	if code, done := commandline.Parse(&o, args, stdout, stderr); done {
		return int(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server, err := serving.Open(o.Listen, standin.Log{To: &logstub.Stub{}})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	fmt.Fprintln(stdout, server.URL())
	if err := server.Run(ctx); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
