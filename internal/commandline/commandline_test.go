package commandline_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/commandline"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		code   commandline.Code
		done   bool
		stdout string
		stderr string
	}{
		{name: "no arguments"},
		{name: "an option", args: []string{"--seed", "7"}},
		{name: "help", args: []string{"--help"}, done: true, stdout: "--seed"},
		{name: "an unknown option", args: []string{"--sead", "7"}, code: commandline.Usage, done: true, stderr: "sead"},
		{name: "a value of the wrong type", args: []string{"--seed", "x"}, code: commandline.Usage, done: true, stderr: "invalid"},
		{name: "an unexpected argument", args: []string{"seven"}, code: commandline.Usage, done: true, stderr: "seven"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o struct {
				Seed int `long:"seed"`
			}
			var stdout, stderr bytes.Buffer
			code, done := commandline.Parse(&o, c.args, &stdout, &stderr)
			must.EqOp(t, c.code, code)
			must.EqOp(t, c.done, done)
			must.StrContains(t, stdout.String(), c.stdout)
			must.StrContains(t, stderr.String(), c.stderr)
		})
	}
}
