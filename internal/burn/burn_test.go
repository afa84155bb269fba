package burn_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
)

// Report sums the tallies of two daemons, and the alarm follows the burn rate.
func TestReport(t *testing.T) {
	objectives := map[ids.Service]burn.Objective{"a/pay": {Share: 99}}
	cases := []struct {
		name  string
		bad   int
		alarm burn.Alarm
		rate  float64
	}{
		{"nothing failed", 0, burn.Quiet, 0},
		{"as much as allowed", 10, burn.Ticket, 1},
		{"a fifth failed", 200, burn.Page, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// Each of two daemons counts half of the requests.
			var tallies []burn.Tally
			for range 2 {
				tracker := &burn.Tracker{Common: common.Discard()}
				for i := range 500 {
					tracker.Record(burn.Event{Service: "a/pay", Account: "a/school", Target: "pay-1", Good: i >= c.bad/2})
				}
				tallies = append(tallies, tracker.Tally())
			}
			reports := burn.Report(tallies, objectives)
			must.Len(t, 1, reports)
			must.EqOp(t, c.alarm, reports[0].Alarm)
			must.InDelta(t, c.rate, reports[0].Windows[0].Rate, 1e-9)
			must.EqOp(t, "5m", reports[0].Windows[0].Span)
			must.EqOp(t, "72h", reports[0].Windows[3].Span)
			if c.bad > 0 {
				must.EqOp(t, "a/school", reports[0].Accounts[0].Name)
				must.InDelta(t, 1, reports[0].Targets[0].Share, 1e-9)
			}
		})
	}
}

// Services come from settings that others write: more of them than are tracked must not end
// the daemon, and services that are gone make room for new ones.
func TestManyServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &burn.Tracker{Common: common.Discard()}
		for i := range 5000 {
			tracker.Record(burn.Event{Service: ids.Service(fmt.Sprint("a/old-", i)), Account: "a/school", Target: "pay-1"})
		}
		must.LessEq(t, 5000, len(tracker.Tally().Services))
		time.Sleep(burn.Windows[len(burn.Windows)-1] + time.Hour)
		must.SliceEmpty(t, tracker.Tally().Services)
		tracker.Record(burn.Event{Service: "a/new", Account: "a/school", Target: "pay-1"})
		must.SliceLen(t, 1, tracker.Tally().Services)
	})
}
