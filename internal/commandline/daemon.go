package commandline

import (
	"fmt"
	"io"
)

// daemonOptions are the options of a daemon's command line.
type daemonOptions struct {
	Config string `short:"c" long:"config" required:"yes" value-name:"FILE" description:"Settings of this daemon (INI)"`
	Check  bool   `long:"check" description:"Check the settings and exit"`
}

// RunDaemon parses the command line of a daemon, loads its settings and calls run, which
// blocks until the daemon is stopped. With --check it only loads the settings. It
// returns the exit code.
func RunDaemon[S any](args []string, stdout, stderr io.Writer, load func(file string) (S, error), run func(file string, settings S) error) Code {
	var o daemonOptions
	if code, done := Parse(&o, args, stdout, stderr); done {
		return code
	}
	settings, err := load(o.Config)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return Usage
	}
	if o.Check {
		fmt.Fprintf(stdout, "%s is valid\n", o.Config)
		return OK
	}
	if err := run(o.Config, settings); err != nil {
		fmt.Fprintln(stderr, err)
		return Failed
	}
	return OK
}
