package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/routetable"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Each ended request counts as good or bad for its service, or not at all.
func TestBurn(t *testing.T) {
	refusal := func(status int) error { return verdict.New(verdict.Unrun, status, "no") }
	cases := []struct {
		name   string
		err    error
		status int
		body   io.Reader
		took   time.Duration
		gone   bool
		good   bool
		noted  bool
	}{
		{name: "answer", status: 200, good: true, noted: true},
		{name: "answer to a bad request", status: 404, good: true, noted: true},
		{name: "error of the target", status: 500, noted: true},
		{name: "slow", status: 200, took: time.Minute, noted: true},
		{name: "cut", status: 200, body: cut{}, noted: true},
		{name: "cut by the caller", status: 200, body: cut{}, gone: true},
		{name: "wrong key", err: refusal(http.StatusUnauthorized)},
		{name: "over the limit", err: refusal(http.StatusTooManyRequests)},
		{name: "broken answer", err: refusal(http.StatusBadGateway), noted: true},
		{name: "no target", err: refusal(http.StatusServiceUnavailable), noted: true},
		{name: "deadline", err: refusal(http.StatusGatewayTimeout), noted: true},
		{name: "error without a verdict", err: io.ErrClosedPipe, noted: true},
		{name: "caller gave up", err: refusal(http.StatusGatewayTimeout), gone: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			common := common.Discard()
			e := &Entry{Common: common, burn: &burn.Tracker{Common: common}}
			caller, leave := context.WithCancel(t.Context())
			defer leave()
			p := &passage{caller: caller, target: "t", began: common.Clock.Now().Add(-c.took)}
			p.match = routetable.Match{ID: "a/r", Route: settings.Route{Service: "s"}}
			p.service.Latency = 30 * time.Second
			if c.gone {
				leave()
			}
			if c.err != nil {
				e.refused(p, c.err)
			} else {
				if c.body == nil {
					c.body = strings.NewReader("ok")
				}
				answer := e.answered(p, &call.Answer{Status: c.status, Length: units.Bytes(2), Body: io.NopCloser(c.body)})
				_, _ = io.Copy(io.Discard, answer.Body)
				_, _ = answer.Body.Read(make([]byte, 1))
			}
			tally := e.burn.Tally()
			if !c.noted {
				must.SliceEmpty(t, tally.Services)
				return
			}
			must.SliceLen(t, 1, tally.Services)
			must.EqOp(t, "a/s", tally.Services[0].Service)
			must.EqOp(t, c.good, len(tally.Targets) == 0)
		})
	}
}
