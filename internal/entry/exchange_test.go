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

// A finished request counts as good or bad for its service; one that fails by its
// caller's fault or is cancelled doesn't count.
func TestBurn(t *testing.T) {
	refusal := func(status int) error { return verdict.New(verdict.Unrun, status, "no") }
	cases := []struct {
		name     string
		err      error
		status   int
		body     io.Reader
		took     time.Duration
		gone     bool
		good     bool
		recorded bool
	}{
		{name: "answer", status: 200, good: true, recorded: true},
		{name: "answer to a bad request", status: 404, good: true, recorded: true},
		{name: "error of the target", status: 500, recorded: true},
		{name: "slow", status: 200, took: time.Minute, recorded: true},
		{name: "cut", status: 200, body: cut{}, recorded: true},
		{name: "cut by the caller", status: 200, body: cut{}, gone: true},
		{name: "wrong key", err: refusal(http.StatusUnauthorized)},
		{name: "over the limit", err: refusal(http.StatusTooManyRequests)},
		{name: "broken answer", err: refusal(http.StatusBadGateway), recorded: true},
		{name: "no target", err: refusal(http.StatusServiceUnavailable), recorded: true},
		{name: "deadline", err: refusal(http.StatusGatewayTimeout), recorded: true},
		{name: "error without a verdict", err: io.ErrClosedPipe, recorded: true},
		{name: "caller gave up", err: refusal(http.StatusGatewayTimeout), gone: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			common := common.Discard()
			e := &Entry{Common: common, burn: &burn.Tracker{Common: common}}
			caller, leave := context.WithCancel(t.Context())
			defer leave()
			ex := &exchange{caller: caller, target: "t", startedAt: common.Clock.Now().Add(-c.took)}
			ex.match = routetable.Match{ID: "a/r", Route: settings.Route{Service: "s"}}
			ex.service.Latency = 30 * time.Second
			if c.gone {
				leave()
			}
			if c.err != nil {
				e.recordRefusal(ex, c.err)
			} else {
				if c.body == nil {
					c.body = strings.NewReader("ok")
				}
				answer := e.trackAnswer(ex, &call.Answer{Status: c.status, Length: units.Bytes(2), Body: io.NopCloser(c.body)})
				_, _ = io.Copy(io.Discard, answer.Body)
				_, _ = answer.Body.Read(make([]byte, 1))
			}
			tally := e.burn.Tally()
			if !c.recorded {
				must.SliceEmpty(t, tally.Services)
				return
			}
			must.SliceLen(t, 1, tally.Services)
			must.EqOp(t, "a/s", tally.Services[0].Service)
			must.EqOp(t, c.good, len(tally.Targets) == 0)
		})
	}
}
