package balsam

import (
	"fmt"
	"io"
	"strings"
)

// history lists the edits that the log still retains.
type history struct {
	session *session
	Args    struct {
		Path string `positional-arg-name:"PATH" description:"Start of the paths; all when left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *history) Execute([]string) error {
	list, err := c.session.client.History(c.session.ctx, c.session.resolvePrefix(c.Args.Path))
	if err != nil {
		return err
	}
	return c.session.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "OFFSET\tRESULT\tPATH\tCHANGE")
		for _, ch := range list {
			values := "removed"
			if !ch.Remove {
				values = fmt.Sprint(ch.Values)
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", ch.Offset, ch.Result, ch.Path, strings.TrimPrefix(values, "map"))
		}
	})
}

// status prints a daemon's view of the fleet.
type status struct{ session *session }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	s, err := c.session.client.Status(c.session.ctx)
	if err != nil {
		return err
	}
	return c.session.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "daemon\t%s in %s, %s\n", s.Daemon, s.Centre, s.Region)
		fmt.Fprintf(w, "settings\toffset %d, in force up to %d\n", s.Offset, s.Newest)
		fmt.Fprintf(w, "confirmed\t%s\n", formatConfirmed(s.Confirmed))
		fmt.Fprintf(w, "roster\t%d daemons, %d witnesses\n", s.Roster, s.Witnesses)
		fmt.Fprintf(w, "fleet\t%d daemons in reach, %d lost\n", s.Known, s.Lost)
		fmt.Fprintf(w, "assertions\t%d checked, %d failed\n", s.Checks, s.Broken)
		fmt.Fprintf(w, "certificate\tfor peers expires %s\n", s.Expires)
		if s.Public != "" {
			fmt.Fprintf(w, "certificate\tfor callers expires %s\n", s.Public)
		}
	})
}

func formatConfirmed(b bool) string {
	if b {
		return "yes"
	}
	return "no: keyed requests are refused here until the settings are confirmed again"
}

// accounts lists client accounts.
type accounts struct{ session *session }

// Execute implements flags.Commander.
func (c *accounts) Execute([]string) error {
	list, err := c.session.client.Accounts(c.session.ctx)
	if err != nil {
		return err
	}
	return c.session.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "ACCOUNT\tRATE\tBURST\tWEIGHT\tKEYS\tHOLDERS")
		for _, a := range list {
			fmt.Fprintf(w, "%s\t%g/s\t%d\t%d\t%d\t%s\n", a.Account, a.Rate, a.Burst, a.Weight, a.Keys, strings.Join(a.Holders, " "))
		}
	})
}

// targets lists backend servers and their state.
type targets struct {
	session *session
	Args    struct {
		Service string `positional-arg-name:"SERVICE" description:"TEAM/NAME; all when left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *targets) Execute([]string) error {
	list, err := c.session.client.Targets(c.session.ctx, c.Args.Service)
	if err != nil {
		return err
	}
	return c.session.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "TARGET\tSERVICE\tSTATE\tSLOTS\tDAEMON\tDATA CENTRE")
		for _, t := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", t.Target, t.Service, t.State, t.Slots, t.Daemon, t.Centre)
		}
	})
}

// completion prints a completion script for bash.
type completion struct{ session *session }

// completionScript runs balsam with GO_FLAGS_COMPLETION set, so that go-flags prints
// the completions.
const completionScript = `_balsam() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _balsam balsam
`

// Execute implements flags.Commander.
func (c *completion) Execute([]string) error {
	_, err := io.WriteString(c.session.stdout, completionScript)
	return err
}
