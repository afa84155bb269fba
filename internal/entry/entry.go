// Package entry decides on each request that a caller sends to this daemon.
//
// # Usage
//
//	answer, err := e.Serve(ctx, arrival, body)
//
// Serve is one straight function: route, key, admit, limit, choose, forward. It
// knows nothing of HTTP connections, so that another front end can use it.
package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/balancer"
	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/guard"
	"balsamwharf.example/balsamwharf/internal/hop"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/limit"
	"balsamwharf.example/balsamwharf/internal/reach"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/routetable"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// tidyPeriod is how often unused state is looked for.
const tidyPeriod = 10 * time.Second

// notConfirmedWait is when a caller may find the daemon confirmed again.
const notConfirmedWait = time.Second

// Entry serves callers' requests.
type Entry struct {
	Common *common.Common
	// Seed fixes the random choices of a test; zero draws a seed.
	Seed uint64

	tail      *tail.Tail
	directory *directory.Directory
	limit     *limit.Limiter
	burn      *burn.Tracker
	reach     reach.Tracker
	guard     *guard.Guard
	hop       *hop.Hop
	standing  leasecheck.Checker
	chooser   balancer.Balancer
	rng       *rand.Rand
	services  services
	counts    counts
}

// Request is a request as a front end received it.
type Request struct {
	Method string
	Target string
	Path   string
	Host   string
	Header map[string][]string
	Length units.Bytes
	// Timeout is the caller's own deadline, or zero.
	Timeout time.Duration
}

// Name implements service.Service.
func (e *Entry) Name() service.Name { return "entry" }

// Needs implements service.Service.
func (e *Entry) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "limit", "hop", "confirm", "guard", "burn"}
}

// Start implements service.Service.
func (e *Entry) Start(ctx context.Context, f service.Finder) error {
	var err error
	if e.tail, err = kernel.Find[*tail.Tail](f, "tail"); err != nil {
		return err
	}
	if e.directory, err = kernel.Find[*directory.Directory](f, "directory"); err != nil {
		return err
	}
	if e.limit, err = kernel.Find[*limit.Limiter](f, "limit"); err != nil {
		return err
	}
	if e.guard, err = kernel.Find[*guard.Guard](f, "guard"); err != nil {
		return err
	}
	if e.burn, err = kernel.Find[*burn.Tracker](f, "burn"); err != nil {
		return err
	}
	if e.standing, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if e.hop, err = kernel.Find[*hop.Hop](f, "hop"); err != nil {
		return err
	}
	e.prepare()
	go e.tidy(ctx)
	return nil
}

func (e *Entry) prepare() {
	identity := e.Common.Settings.Identity
	e.chooser.Self, e.chooser.Centre, e.chooser.Region = identity.Daemon, identity.Centre, identity.Region
	seed := e.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	e.rng = rand.New(rand.NewPCG(seed, 0))
	e.counts = newCounts(e.Common.Metrics)
}

// tidy forgets targets and services that are no longer used.
func (e *Entry) tidy(ctx context.Context) {
	sub := e.Common.Clock.Every(tidyPeriod)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			e.chooser.EvictUnused(now)
			e.reach.EvictStale(now)
			e.services.forget(now)
		case <-ctx.Done():
			return
		}
	}
}

// Stop implements service.Service.
func (e *Entry) Stop(context.Context) error { return nil }

// rules is what the shared settings say about one request.
type rules struct {
	match   routetable.Match
	service settings.Service
	account ids.Account
	limits  settings.Account
}

// Serve runs one request. Its errors carry a verdict.
func (e *Entry) Serve(ctx context.Context, a Request, body io.Reader) (*call.Answer, error) {
	p := &passage{caller: ctx, began: e.Common.Clock.Now()}
	answer, err := e.serve(ctx, p, a, body)
	e.counts.ended(err)
	if err != nil {
		e.refused(p, err)
		return nil, err
	}
	return e.answered(p, answer), nil
}

func (e *Entry) serve(ctx context.Context, p *passage, a Request, body io.Reader) (*call.Answer, error) {
	r, rest, err := e.rule(a)
	p.rules = r
	if err != nil {
		return nil, err
	}
	if !r.match.Route.Open && !e.standing.Confirmed() {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "this daemon's settings are not confirmed").After(notConfirmedWait)
	}
	if len(e.directory.Targets(r.match.Service())) == 0 {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the service has no backend server")
	}
	head := headOf(a, r, rest)
	ctx, cancel := e.Common.Clock.Within(ctx, head.Remaining)
	if err := e.admit(ctx, r); err != nil {
		cancel()
		return nil, err
	}
	answer, err := e.once(ctx, p, head, body)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &closing{ReadCloser: answer.Body, then: cancel}
	return answer, nil
}

// rule finds the route and checks the key.
func (e *Entry) rule(a Request) (rules, bearer.Request, error) {
	var r rules
	var rest bearer.Request
	var err error
	e.tail.View(func(s *replay.State) { r, rest, err = ruleBy(s, a) })
	return r, rest, err
}

func ruleBy(s *replay.State, a Request) (rules, bearer.Request, error) {
	var r rules
	match, ok := s.Match(a.Host, a.Path)
	if !ok {
		return r, bearer.Request{}, verdict.New(verdict.Unrun, http.StatusNotFound, "no route matches the host and path")
	}
	r.match = match
	if r.service, ok = s.Service(match.Service()); !ok {
		return r, bearer.Request{}, verdict.New(verdict.Unrun, http.StatusNotFound, "the route's service does not exist")
	}
	key, rest := bearer.Take(match.Route, bearer.Request{Target: a.Target, Header: a.Header})
	if match.Route.Open && key == "" {
		return r, rest, nil
	}
	if r.account, ok = s.AccountByKey(bearer.HashOf(key)); !ok {
		if match.Route.Open {
			return r, rest, nil
		}
		return r, rest, verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key is missing or not valid")
	}
	if r.limits, ok = s.Account(r.account); !ok {
		return r, rest, verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key's client account does not exist")
	}
	if ids.TeamOf(r.account) != ids.TeamOf(match.ID) {
		return r, rest, verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key is not valid for this route")
	}
	return r, rest, nil
}

// admit takes a token of the client account; callers without a key need none.
func (e *Entry) admit(ctx context.Context, r rules) error {
	if r.account == "" {
		return nil
	}
	return e.limit.Admit(ctx, r.account, r.limits)
}

// closing is an answer's body with something to do after it.
type closing struct {
	io.ReadCloser
	then func()
}

// Close implements io.Closer.
func (c *closing) Close() error {
	err := c.ReadCloser.Close()
	c.then()
	return err
}
