package balsam

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/configcheck"
	"balsamwharf.example/balsamwharf/platform/document"
)

// maxConfiguration bounds the file of a platform's configuration in bytes: 35,000 routes take 8 MB.
const maxConfiguration = 32 << 20

// check validates a file locally, without contacting a daemon: sections of the settings as INI, or the
// configuration of a platform as JSON.
type check struct {
	session *session
	Against string `long:"against" value-name:"FILE" description:"Configuration of a platform that is in force; prints what differs"`
	inputFile
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	raw, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	if isJSON(raw) {
		return c.checkConfiguration(raw)
	}
	if c.Against != "" {
		return exitErrorf(Usage, "--against compares configurations of a platform; balsam diff compares an INI file with the fleet")
	}
	list, err := c.load()
	if err != nil {
		return err
	}
	paths := []ids.Path{}
	for _, n := range list {
		paths = append(paths, n.Path)
	}
	return c.session.print(paths, func(w io.Writer) { fmt.Fprintf(w, "%d sections are valid\n", len(paths)) })
}

// readConfiguration reads a file that is not longer than a configuration can be.
func readConfiguration(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, exitErrorf(Usage, "%v", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxConfiguration+1))
	if err != nil {
		return nil, exitErrorf(Usage, "%v", err)
	}
	if len(raw) > maxConfiguration {
		return nil, exitErrorf(Usage, "%s is longer than %d bytes", name, maxConfiguration)
	}
	return raw, nil
}

// isJSON reports whether the text is that of a platform's configuration.
func isJSON(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// checkReport is the result of a check of a platform's configuration.
type checkReport struct {
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

// errors returns how many findings are errors.
func (r checkReport) errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Level == configcheck.Error {
			n++
		}
	}
	return n
}

// checkConfiguration prints the findings in a platform's configuration, and what differs from the one
// in force if that is given. With an error among the findings, it returns a Usage error.
func (c *check) checkConfiguration(raw []byte) error {
	config, findings := document.Inspect(raw)
	report := checkReport{Findings: findings}
	if len(findings) == 0 || !unreadable(findings) {
		report.Findings = append(report.Findings, configcheck.Check(config)...)
	}
	if c.Against != "" {
		inForce, err := readConfiguration(c.Against)
		if err != nil {
			return err
		}
		before, faults := document.Inspect(inForce)
		if unreadable(faults) {
			return exitErrorf(Usage, "%s: %s: %s", c.Against, faults[0].Path, faults[0].Text)
		}
		report.Findings = append(report.Findings, configcheck.CheckOrder(before, config)...)
		report.Differences = configcheck.Compare(before, config)
	}
	for i := range report.Findings {
		report.Findings[i].Path = document.PathOf(report.Findings[i].Path)
	}
	if err := c.session.print(report, func(w io.Writer) { writeReport(w, report, c.Against != "") }); err != nil {
		return err
	}
	if n := report.errors(); n > 0 {
		return exitErrorf(Usage, "%s has %d errors", c.Args.File, n)
	}
	return nil
}

// unreadable reports whether a part of the configuration could not be decoded, so that the places of
// other entries are not known.
func unreadable(findings []configcheck.Finding) bool {
	for _, f := range findings {
		if f.Level == configcheck.Error {
			return true
		}
	}
	return false
}

func writeReport(w io.Writer, r checkReport, compared bool) {
	for _, f := range r.Findings {
		fmt.Fprintf(w, "%s: %s: %s\n", f.Level, f.Path, f.Text)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s %s %s\n", d.What, d.Kind, d.Name)
		for _, f := range d.Fields {
			fmt.Fprintf(w, "  %s\n", f)
		}
	}
	switch {
	case len(r.Findings) == 0 && compared:
		fmt.Fprintf(w, "the configuration is valid, %d entries differ\n", len(r.Differences))
	case len(r.Findings) == 0:
		fmt.Fprintln(w, "the configuration is valid")
	}
}
