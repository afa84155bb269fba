package balsam

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/chart"
)

// reportBurn prints how fast services spend their error budgets.
type reportBurn struct {
	session *session
	HTML    string `long:"html" value-name:"FILE" description:"Also write a page with plots"`
	Alarm   bool   `long:"alarm" description:"Exit with code 7 when a service raises an alarm"`
}

// burnReport is the report of a daemon, which collected the counts of Answered out of
// Daemons daemons.
type burnReport struct {
	Daemons  int                  `json:"daemons"`
	Answered int                  `json:"answered"`
	Services []burn.ServiceReport `json:"services"`
}

const htmlFileMode = 0o644

// Execute implements flags.Commander.
func (c *reportBurn) Execute([]string) error {
	raw, err := c.session.client.Burn(c.session.ctx)
	if err != nil {
		return err
	}
	var r burnReport
	if err := json.Unmarshal(raw, &r); err != nil {
		return exitErrorf(Failed, "decode the daemon's burn report: %v", err)
	}
	if c.HTML != "" {
		page, err := chart.Page(r.Services, r.Answered, r.Daemons)
		if err != nil {
			return exitErrorf(Failed, "render the HTML page: %v", err)
		}
		if err := os.WriteFile(c.HTML, page, htmlFileMode); err != nil {
			return exitErrorf(Failed, "%v", err)
		}
	}
	if err := c.session.print(r, func(w io.Writer) { writeBurn(w, r) }); err != nil {
		return err
	}
	if c.Alarm && anyAlarm(r.Services) {
		return exitErrorf(Alarm, "a service spends its error budget too fast")
	}
	return nil
}

func anyAlarm(lines []burn.ServiceReport) bool {
	for _, l := range lines {
		if l.Alarm != burn.Quiet {
			return true
		}
	}
	return false
}

func writeBurn(w io.Writer, r burnReport) {
	fmt.Fprintf(w, "counts of %d of %d daemons; a burn rate of 1 spends the budget in 30 days\n", r.Answered, r.Daemons)
	fmt.Fprintln(w, "SERVICE\tOBJECTIVE\tALARM\t5m\t1h\t6h\t72h\tMOST BY ACCOUNT\tMOST BY TARGET")
	for _, l := range r.Services {
		fmt.Fprintf(w, "%s\t%g%%\t%s", l.Service, float64(l.Objective), l.Alarm)
		for _, window := range l.Windows {
			fmt.Fprintf(w, "\t%.2f", window.Rate)
		}
		fmt.Fprintf(w, "\t%s\t%s\n", formatSpenders(l.Accounts), formatSpenders(l.Targets))
	}
}

func formatSpenders(list []burn.Spender) string {
	var parts []string
	for _, s := range list[:min(2, len(list))] {
		name := s.Name
		if name == "" {
			name = "(none)"
		}
		parts = append(parts, fmt.Sprintf("%s %.0f%%", name, 100*s.Share))
	}
	return strings.Join(parts, ", ")
}
