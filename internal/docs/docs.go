// Package docs is the command that writes or checks the generated pages.
//
// # Usage
//
//	os.Exit(docs.Main(os.Args[1:], os.Stdout, os.Stderr))
package docs

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"balsamwharf.example/balsamwharf/internal/reference"
)

// Exit codes of the command.
const (
	exitOK    = 0
	exitStale = 1
	exitUsage = 2
)

// fileMode is the mode of the written pages.
const fileMode = 0o644

// options is the command line.
type options struct {
	Check bool `long:"check" description:"Change nothing; fail when a page is not current"`
}

// Main writes or checks the pages and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		return exitUsage
	}
	code := exitOK
	for _, p := range reference.Pages() {
		if o.Check {
			if !current(p) {
				fmt.Fprintf(stderr, "%s is not current; run go run ./cmd/balsamdocs\n", p.File)
				code = exitStale
			}
			continue
		}
		if err := os.WriteFile(p.File, p.Text, fileMode); err != nil {
			fmt.Fprintln(stderr, err)
			return exitStale
		}
		fmt.Fprintln(stdout, "wrote", p.File)
	}
	return code
}

func current(p reference.Page) bool {
	text, err := os.ReadFile(p.File)
	return err == nil && bytes.Equal(text, p.Text)
}
