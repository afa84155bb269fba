package ledger_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// lines returns n requests of one account, evenly spread from a time on.
func lines(n int, from, step time.Duration) []ledger.Line {
	var all []ledger.Line
	for i := range n {
		sent := from + time.Duration(i)*step
		all = append(all, ledger.Line{Account: "t/a", Sent: sent, Done: sent + time.Millisecond, Status: 200, Verdict: verdict.Ran, Idempotent: true})
	}
	return all
}

func TestBreaches(t *testing.T) {
	limits := map[ids.Account]settings.Account{"t/a": {Rate: 10, Burst: 5}}
	cases := []struct {
		name  string
		lines []ledger.Line
		runs  map[string]int
		want  int
	}{
		{name: "within rate", lines: lines(50, 0, 100*time.Millisecond)},
		{name: "a burst and then the rate", lines: append(lines(5, 0, 0), lines(50, 100*time.Millisecond, 100*time.Millisecond)...)},
		{name: "over the burst", lines: lines(10, time.Second, time.Millisecond), want: 1},
		{name: "over the rate in the middle", lines: append(lines(20, 0, 100*time.Millisecond), lines(40, 4*time.Second, 50*time.Millisecond)...), want: 1},
		{name: "ran twice", lines: []ledger.Line{{Request: "r", Status: 200, Verdict: verdict.Ran}}, runs: map[string]int{"r": 2}, want: 1},
		{name: "idempotent may run twice", lines: []ledger.Line{{Request: "r", Status: 200, Verdict: verdict.Ran, Idempotent: true}}, runs: map[string]int{"r": 2}},
		{name: "ran though unrun", lines: []ledger.Line{{Request: "r", Status: 503, Verdict: verdict.Unrun}}, runs: map[string]int{"r": 1}, want: 1},
		{name: "an idempotent one ran though unrun", lines: []ledger.Line{{Request: "r", Status: 503, Verdict: verdict.Unrun, Idempotent: true}}, runs: map[string]int{"r": 1}, want: 1},
		{name: "crossed answer", lines: []ledger.Line{{Request: "r", Status: 200, Verdict: verdict.Ran, Wrong: true}}, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l ledger.Ledger
			for _, line := range c.lines {
				l.Add(line)
			}
			must.Len(t, c.want, l.Breaches(limits, c.runs))
		})
	}
}
