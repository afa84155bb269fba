// Package docs implements the command that writes or checks the generated pages.
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

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/capacity"
	"balsamwharf.example/balsamwharf/internal/commandline"
	"balsamwharf.example/balsamwharf/internal/reference"
	"balsamwharf.example/balsamwharf/internal/slopes"
)

// Exit codes of the command.
const (
	exitOK    = 0
	exitStale = 1
)

// fileMode is the file mode of written pages.
const fileMode = 0o644

// options are the options of the command line.
type options struct {
	Check bool `long:"check" description:"Change nothing; fail when a page is not current"`
}

// Main writes the pages below the working directory, or with --check compares them with
// the files there. It returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	if code, done := commandline.Parse(&o, args, stdout, stderr); done {
		return int(code)
	}
	capacityPage, err := fillCapacityPage()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitStale
	}
	code := exitOK
	for _, p := range append(reference.Pages(), capacityPage) {
		if o.Check {
			if !isCurrent(p) {
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

func isCurrent(p reference.Page) bool {
	text, err := os.ReadFile(p.File)
	return err == nil && bytes.Equal(text, p.Text)
}

// The capacity page, and the slopes measured by the bench that it is computed from.
const (
	capacityFile = "docs/CAPACITY.md"
	slopesFile   = "docs/slopes.json"
)

// fillCapacityPage returns the capacity page with its generated part filled in from the
// measured slopes.
func fillCapacityPage() (reference.Page, error) {
	measured, err := os.ReadFile(slopesFile)
	if err != nil {
		return reference.Page{}, errorx.Decorate(err, "read the measured slopes")
	}
	s, err := slopes.Read(measured)
	if err != nil {
		return reference.Page{}, err
	}
	old, err := os.ReadFile(capacityFile)
	if err != nil {
		return reference.Page{}, errorx.Decorate(err, "read the capacity page")
	}
	text, err := capacity.Page{Slopes: s}.Fill(old)
	return reference.Page{File: capacityFile, Text: text}, err
}
