// Package commandline parses the options of commands without subcommands.
//
// # Usage
//
//	var o options
//	if code, done := commandline.Parse(&o, args, stdout, stderr); done {
//		return int(code)
//	}
package commandline

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Code is the exit code of a command.
type Code int

// The exit codes. Usage stands for a wrong command line or invalid settings.
const (
	OK     Code = 0
	Failed Code = 1
	Usage  Code = 2
)

// Parse parses the arguments into options. It returns true when the command should
// exit with the returned code: after --help, which prints the help to stdout, or after
// a wrong command line, which prints the error to stderr.
func Parse(options any, args []string, stdout, stderr io.Writer) (Code, bool) {
	rest, err := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return OK, true
	case err != nil:
		fmt.Fprintln(stderr, err)
		return Usage, true
	case len(rest) > 0:
		fmt.Fprintf(stderr, "unexpected argument %q\n", rest[0])
		return Usage, true
	}
	return OK, false
}
