package commandline_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/commandline"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code commandline.Code
		done bool
		out  string
		errs string
	}{
		{name: "nothing"},
		{name: "an option", args: []string{"--seed", "7"}},
		{name: "help", args: []string{"--help"}, done: true, out: "--seed"},
		{name: "an unknown option", args: []string{"--sead", "7"}, code: commandline.Usage, done: true, errs: "sead"},
		{name: "a value that is none", args: []string{"--seed", "x"}, code: commandline.Usage, done: true, errs: "invalid"},
		{name: "an argument too many", args: []string{"seven"}, code: commandline.Usage, done: true, errs: "seven"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o struct {
				Seed int `long:"seed"`
			}
			var out, errs bytes.Buffer
			code, done := commandline.Parse(&o, c.args, &out, &errs)
			must.EqOp(t, c.code, code)
			must.EqOp(t, c.done, done)
			must.StrContains(t, out.String(), c.out)
			must.StrContains(t, errs.String(), c.errs)
		})
	}
}
