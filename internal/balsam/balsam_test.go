package balsam_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/balsam"
	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
)

// operator runs balsam commands against a fleet.
type operator struct {
	t     *testing.T
	fleet *fleet.Fleet
}

// runAs runs a command with the credential and returns its exit code, standard output
// and standard error. The first daemon address is unreachable, so that every command
// has to go on to the second.
func (o operator) runAs(credential string, args ...string) (balsam.ExitCode, string, string) {
	var out, errs bytes.Buffer
	globalArgs := []string{"--credential", credential, "--team", "andrade", "--daemon", "http://127.0.0.1:1", "--daemon", o.fleet.Daemons[1].Operators}
	code := balsam.Main(append(globalArgs, args...), &out, &errs)
	return balsam.ExitCode(code), out.String(), errs.String()
}

// mustRun runs a command, fails the test unless it succeeds, and returns its standard
// output.
func (o operator) mustRun(credential string, args ...string) string {
	o.t.Helper()
	code, out, errs := o.runAs(credential, args...)
	must.EqOp(o.t, balsam.OK, code, must.Sprint(args, out, errs))
	return out
}

const (
	root = fleet.RootCredential
	team = "credential-of-andrade"
)

// Runs the commands of an operator who sets up a team and changes its settings, and
// checks the exit code and message of each kind of error. An edit whose reply from the
// log service is lost must be published exactly once.
func TestOperatorCommands(t *testing.T) {
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"north", "south"},
		Services: []fleet.Service{{ID: "andrade/payments", Targets: 2, Slots: 4, Work: time.Millisecond}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	o := operator{t: t, fleet: f}

	o.mustRun(root, "set", "teams/root", "credential="+string(bearer.HashOf(root)))
	o.mustRun(root, "set", "teams/andrade", "credential="+string(bearer.HashOf(team)))
	o.mustRun(root, "set", "teams/other", "credential="+string(bearer.HashOf("other")))

	file := filepath.Join(t.TempDir(), "andrade.ini")
	text := "[teams/andrade/services/payments]\nfloor = 50\n\n[teams/andrade/accounts/school]\nrate = 40\nburst = 80\n"
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	must.StrContains(t, o.mustRun(team, "check", file), "2 sections are valid")
	must.StrContains(t, o.mustRun(team, "diff", file), "+ rate = 40")
	must.StrContains(t, o.mustRun(team, "apply", "--wait", file), "2 of 2 sections changed")
	must.StrContains(t, o.mustRun(team, "apply", file), "0 of 2 sections changed")
	must.StrContains(t, o.mustRun(team, "get", "accounts/school"), "burst = 80")

	secret := strings.Split(o.mustRun(team, "key", "grant", "school", "one"), "\n")[0]
	must.StrContains(t, o.mustRun(team, "key", "list"), "one")
	must.StrNotContains(t, o.mustRun(team, "--json", "get"), secret)
	o.mustRun(team, "key", "withdraw", "--wait", "one")
	must.StrNotContains(t, o.mustRun(team, "key", "list"), "one")

	cases := []struct {
		name       string
		credential string
		args       []string
		code       balsam.ExitCode
		wantErr    string
	}{
		{"no credential", "", []string{"get"}, balsam.Denied, "BALSAM_CREDENTIAL"},
		{"unknown credential", "nonsense", []string{"get"}, balsam.Denied, "not that of any team"},
		{"another team's subtree", "other", []string{"set", "accounts/school", "rate=1"}, balsam.Denied, "team that owns"},
		{"a bad value", team, []string{"set", "accounts/school", "rate=fast"}, balsam.Usage, `name "rate"`},
		{"an unknown name", team, []string{"set", "accounts/school", "speed=1"}, balsam.Usage, "no such name"},
		{"no such account", team, []string{"key", "grant", "nobody", "two"}, balsam.Usage, "does not exist"},
		{"a path that is none", team, []string{"set", "accounts", "rate=1"}, balsam.Usage, "names no section"},
		{"a missing argument", team, []string{"set"}, balsam.Usage, "required"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, errs := o.runAs(c.credential, c.args...)
			must.EqOp(t, c.code, code, must.Sprint(errs))
			must.StrContains(t, errs, c.wantErr)
		})
	}

	f.Log.SetAway(true)
	code, _, errs := o.runAs(team, "set", "accounts/school", "rate=41")
	must.EqOp(t, balsam.Unavailable, code)
	must.StrContains(t, errs, "Nothing was changed")
	f.Log.SetAway(false)

	f.Log.LoseReplies(1)
	o.mustRun(team, "set", "accounts/school", "rate=42")
	must.StrContains(t, o.mustRun(team, "history", "accounts/school"), "42")
	must.EqOp(t, 1, strings.Count(o.mustRun(team, "history", "accounts/school"), "rate:42"))

	must.StrContains(t, o.mustRun(team, "status"), "roster")
	must.StrContains(t, o.mustRun(team, "targets", "andrade/payments"), "serving")
	must.StrContains(t, o.mustRun(team, "accounts"), "andrade/school")
	must.StrContains(t, o.mustRun(team, "completion"), "complete -F")
	var report struct{ Daemons, Answered int }
	must.NoError(t, json.Unmarshal([]byte(o.mustRun(team, "--json", "report", "burn")), &report))
	must.EqOp(t, 2, report.Answered)
}

func TestCheckReportsLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.ini")
	must.NoError(t, os.WriteFile(file, []byte("[teams/a/accounts/b]\nrate = 1\nburst = none\n"), 0o600))
	var out, errs bytes.Buffer
	must.EqOp(t, int(balsam.Usage), balsam.Main([]string{"check", file}, &out, &errs))
	must.StrContains(t, errs.String(), "bad.ini:3")
	must.StrContains(t, errs.String(), `name "burst"`)
}
