// Package balsam implements the operators' command-line client.
//
// # Usage
//
//	os.Exit(balsam.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Each command is a type with its options and an Execute method. Commands print
// text, or JSON with --json.
package balsam

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/client"
)

// ExitCode is the exit code of a balsam process.
type ExitCode int

// The exit codes. docs/OPERATIONS.md lists them.
const (
	OK ExitCode = 0
	// Failed means that the command could not be carried out.
	Failed ExitCode = 1
	// Usage means that the command line or an input file is invalid.
	Usage ExitCode = 2
	// Conflict means that another edit changed the section since it was read.
	Conflict ExitCode = 3
	// Denied means that the credential does not cover the path.
	Denied ExitCode = 4
	// Unavailable means that no daemon could be reached, or that the log service is
	// unavailable. Nothing was changed.
	Unavailable ExitCode = 5
	// Unknown means that the change may have been made; the error message says how
	// to check.
	Unknown ExitCode = 6
	// Alarm means that a report shows a service that needs attention.
	Alarm ExitCode = 7
)

// exitError is an error message with the exit code of the process.
type exitError struct {
	code ExitCode
	text string
}

// Error implements error.
func (f *exitError) Error() string { return f.text }

func exitErrorf(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, text: fmt.Sprintf(format, args...)}
}

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Daemon     []string `short:"d" long:"daemon" env:"BALSAM_DAEMONS" env-delim:"," value-name:"URL" default:"http://127.0.0.1:8082" description:"A daemon's address for operators; repeat it to name others that are tried when the first is cut off"`
	Credential string   `long:"credential" env:"BALSAM_CREDENTIAL" value-name:"SECRET" description:"Credential of the team; better given in the environment"`
	Team       ids.Team `short:"t" long:"team" env:"BALSAM_TEAM" value-name:"TEAM" description:"Team that short paths such as services/payments belong to"`
	JSON       bool     `long:"json" description:"Print JSON"`
}

// session is shared by the commands of one process: the global options, the output
// streams and the API client.
type session struct {
	globalOptions
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	client *client.Client
}

// Main parses the arguments, runs one command and returns its exit code. An
// interrupt cancels the command.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	s := &session{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewParser(&s.globalOptions, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "balsam"
	parser.LongDescription = "Reads and changes the settings of a balsamwharf fleet and reports on it."
	addCommands(parser, s)
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if c == nil {
			return exitErrorf(Usage, "no command given; see balsam --help")
		}
		s.client = &client.Client{Daemons: s.Daemon, Credential: s.Credential}
		return c.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	return int(s.finish(err))
}

// finish prints err and returns its exit code. Help that was asked for goes to
// standard output with code OK.
func (s *session) finish(err error) ExitCode {
	var f *exitError
	var usage *flags.Error
	var apiErr *client.Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(s.stdout, usage.Message)
		return OK
	case errors.As(err, &usage):
		fmt.Fprintln(s.stderr, usage.Message)
		return Usage
	case errors.As(err, &f):
		fmt.Fprintln(s.stderr, f.text)
		return f.code
	case errors.As(err, &apiErr):
		fmt.Fprintln(s.stderr, apiErr.Detail)
		return statusExitCode(apiErr.Status)
	default:
		fmt.Fprintf(s.stderr, "%v\nName another daemon with --daemon, or check that one runs.\n", err)
		return Unavailable
	}
}

func statusExitCode(status int) ExitCode {
	switch status {
	case 401, 403:
		return Denied
	case 503:
		return Unavailable
	default:
		return Failed
	}
}

// resolvePath returns the full path of a section. A short path such as
// services/payments is taken as one of the team.
func (s *session) resolvePath(text string) (ids.Path, error) {
	text = strings.Trim(text, "/")
	p := ids.Path(text)
	if settings.KindOf(p) == settings.KindNone && s.Team != "" {
		p = ids.Path("teams/" + string(s.Team) + "/" + text)
	}
	if settings.KindOf(p) == settings.KindNone {
		return "", exitErrorf(Usage, "%q names no section; use teams/TEAM/{services,routes,accounts,keys}/NAME, or --team with a short path", text)
	}
	return p, nil
}

// resolvePrefix returns the full form of a path prefix. A short prefix is taken as
// one of the team.
func (s *session) resolvePrefix(text string) string {
	text = strings.Trim(text, "/")
	if s.Team == "" || strings.HasPrefix(text, "teams") {
		return text
	}
	return strings.TrimSuffix("teams/"+string(s.Team)+"/"+text, "/")
}

// print writes v as JSON with --json, and otherwise what writeText writes, with
// tab-separated columns aligned.
func (s *session) print(v any, writeText func(w io.Writer)) error {
	if s.JSON {
		encoder := json.NewEncoder(s.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	writeText(w)
	return w.Flush()
}
