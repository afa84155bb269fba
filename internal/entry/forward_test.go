package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/hop"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// peers stands in for all other daemons. step returns the error, or nil, of the nth
// request, counted from 0.
type peers struct {
	step func(ctx context.Context, n int) error

	mu     sync.Mutex
	sent   int
	ended  int
	bodies []string
}

func (*peers) Name() service.Name                          { return "dial" }
func (*peers) Needs() []service.Name                       { return nil }
func (*peers) Start(context.Context, service.Finder) error { return nil }
func (*peers) Stop(context.Context) error                  { return nil }

func (*peers) Call(context.Context, ids.Daemon, message.Message) (message.Message, error) {
	return nil, io.ErrClosedPipe
}

func (p *peers) Send(ctx context.Context, _ ids.Daemon, _ call.Head, body io.Reader) (*call.Answer, error) {
	text, _ := io.ReadAll(body)
	p.mu.Lock()
	n := p.sent
	p.sent++
	p.bodies = append(p.bodies, string(text))
	p.mu.Unlock()
	err := p.step(ctx, n)
	p.mu.Lock()
	p.ended++
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return &call.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok"))}, nil
}

var (
	unrun = verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "unrun")
	maybe = verdict.New(verdict.Maybe, http.StatusBadGateway, "maybe")
)

// run calls test with an Entry and five targets on other daemons, in virtual time.
func run(t *testing.T, p *peers, test func(t *testing.T, e *Entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Settings.Identity.Daemon = "vm0"
		dir := &directory.Directory{}
		h := &hop.Hop{Common: c}
		var k kernel.Kernel
		for _, s := range []service.Service{c.Clock, dir, p, &gossip.Gossip{Common: c}, validLease{}, &tail.Tail{Common: c, Log: &logstub.Stub{}}, &permit.Manager{Common: c}, &ejector.Ejector{Common: c}, &gatekeeper.Gatekeeper{Common: c}, h} {
			k.Add(s)
		}
		must.NoError(t, k.Start(t.Context()))
		for _, d := range []ids.Daemon{"vm1", "vm2", "vm3", "vm4", "vm5"} {
			dir.Put(member.Member{Daemon: d, Incarnation: 1, Targets: []member.Target{{ID: ids.Target("of-" + d), Service: "a/s", Slots: 2}}})
		}
		e := &Entry{Common: c, Seed: 1, directory: dir, hop: h}
		e.prepare()
		test(t, e)
		must.NoError(t, k.Stop(time.Minute))
	})
}

func headFor(idempotent bool, p settings.Patience) call.Head {
	return call.Head{Service: "a/s", Length: 4, Idempotent: idempotent, Patience: p}
}

func bodyOf(text string) *replayBody { return &replayBody{buffered: []byte(text)} }

func exchangeWith(share units.Percent) *exchange {
	return &exchange{rules: rules{service: settings.Service{Retries: share}}}
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		idempotent bool
		share      units.Percent
		sent       int
	}{
		{name: "unrun is repeated", err: unrun, share: 10, sent: maxAttempts},
		{name: "maybe is not", err: maybe, share: 10, sent: 1},
		{name: "idempotent maybe is", err: maybe, idempotent: true, share: 10, sent: maxAttempts},
		{name: "no budget", err: unrun, sent: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &peers{step: func(context.Context, int) error { return c.err }}
			run(t, p, func(t *testing.T, e *Entry) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := e.forward(ctx, exchangeWith(c.share), headFor(c.idempotent, settings.PatienceNormal), bodyOf("body"))
				must.ErrorIs(t, err, c.err)
				must.EqOp(t, c.sent, p.sent)
				for _, text := range p.bodies {
					must.EqOp(t, "body", text)
				}
			})
		})
	}
}

// When a service refuses all requests, the retries stay close to its share: a failing
// service must not get a multiple of its load.
func TestRetryBudgetHolds(t *testing.T) {
	p := &peers{step: func(context.Context, int) error { return unrun }}
	run(t, p, func(t *testing.T, e *Entry) {
		for range 1000 {
			_, err := e.forward(t.Context(), exchangeWith(10), headFor(false, settings.PatienceNormal), bodyOf("body"))
			must.Error(t, err)
		}
		must.Between(t, 1050, p.sent, 1000+100+10)
	})
}

// An attempt that fails at the deadline isn't retried.
func TestNoRetryAfterDeadline(t *testing.T) {
	p := &peers{step: func(ctx context.Context, _ int) error {
		<-ctx.Done()
		return maybe
	}}
	run(t, p, func(t *testing.T, e *Entry) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := e.forward(ctx, exchangeWith(10), headFor(true, settings.PatienceNormal), bodyOf("body"))
		must.ErrorIs(t, err, maybe)
		must.EqOp(t, 1, p.sent)
	})
}

func TestHedges(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		patience   settings.Patience
		hedged     bool
	}{
		{name: "short and idempotent", idempotent: true, patience: settings.PatienceShort, hedged: true},
		{name: "not idempotent", patience: settings.PatienceShort},
		{name: "patient", idempotent: true, patience: settings.PatienceNormal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const warmup = 50
			p := &peers{step: func(ctx context.Context, n int) error {
				if n != warmup {
					return nil
				}
				<-ctx.Done()
				return maybe
			}}
			run(t, p, func(t *testing.T, e *Entry) {
				head := headFor(c.idempotent, c.patience)
				for range warmup {
					answer, err := e.forward(t.Context(), exchangeWith(10), head, bodyOf("body"))
					must.NoError(t, err)
					must.NoError(t, answer.Body.Close())
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				answer, err := e.forward(ctx, exchangeWith(10), head, bodyOf("body"))
				must.EqOp(t, c.hedged, err == nil)
				if err == nil {
					text, _ := io.ReadAll(answer.Body)
					must.EqOp(t, "ok", string(text))
					must.NoError(t, answer.Body.Close())
					must.EqOp(t, warmup+2, p.sent)
				}
				synctest.Wait()
				must.EqOp(t, p.sent, p.ended)
			})
		})
	}
}
