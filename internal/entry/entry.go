// Package entry serves the requests that callers send to this daemon: it authorizes them,
// applies rate limits and forwards them, with retries and hedges, to gatekeepers.
//
// # Usage
//
//	answer, err := e.Serve(ctx, request, body)
//
// Serve performs these steps in order: match the route, check the key, apply the rate
// limit, choose a target, forward. It doesn't depend on HTTP connections, so that another
// front end can use it.
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

// evictPeriod is the interval between evictions of unused state.
const evictPeriod = 10 * time.Second

// unconfirmedRetryAfter is the Retry-After value of requests that are refused because this
// daemon has no valid read lease.
const unconfirmedRetryAfter = time.Second

// Entry serves callers' requests. It is the service "entry". Serve may be called
// concurrently once Start has returned.
type Entry struct {
	Common *common.Common
	// Seed makes the random choices reproducible in tests; zero means a random seed.
	Seed uint64

	tail      *tail.Tail
	directory *directory.Directory
	limiter   *limit.Limiter
	burn      *burn.Tracker
	reach     reach.Tracker
	guard     *guard.Guard
	hop       *hop.Hop
	lease     leasecheck.Checker
	balancer  balancer.Balancer
	rng       *rand.Rand
	services  serviceStates
	counters  counters
}

// Request is a request as a front end received it.
type Request struct {
	Method string
	Target string
	Path   string
	Host   string
	Header map[string][]string
	Length units.Bytes
	// Timeout is the time limit that the caller set, or zero.
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
	if e.limiter, err = kernel.Find[*limit.Limiter](f, "limit"); err != nil {
		return err
	}
	if e.guard, err = kernel.Find[*guard.Guard](f, "guard"); err != nil {
		return err
	}
	if e.burn, err = kernel.Find[*burn.Tracker](f, "burn"); err != nil {
		return err
	}
	if e.lease, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if e.hop, err = kernel.Find[*hop.Hop](f, "hop"); err != nil {
		return err
	}
	e.prepare()
	go e.evictLoop(ctx)
	return nil
}

func (e *Entry) prepare() {
	identity := e.Common.Settings.Identity
	e.balancer.Self, e.balancer.Centre, e.balancer.Region = identity.Daemon, identity.Centre, identity.Region
	seed := e.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	e.rng = rand.New(rand.NewPCG(seed, 0))
	e.counters = newCounters(e.Common.Metrics)
}

// evictLoop evicts the state of unused targets and services until ctx is done.
func (e *Entry) evictLoop(ctx context.Context) {
	sub := e.Common.Clock.Every(evictPeriod)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			e.balancer.EvictUnused(now)
			e.reach.EvictStale(now)
			e.services.evictUnused(now)
		case <-ctx.Done():
			return
		}
	}
}

// Stop implements service.Service.
func (e *Entry) Stop(context.Context) error { return nil }

// rules are the shared settings that apply to one request.
type rules struct {
	match   routetable.Match
	service settings.Service
	account ids.Account
	limits  settings.Account
}

// Serve forwards one request and returns the answer, whose body the caller must read and
// close. Errors carry a verdict.
func (e *Entry) Serve(ctx context.Context, req Request, body io.Reader) (*call.Answer, error) {
	ex := &exchange{caller: ctx, startedAt: e.Common.Clock.Now()}
	answer, err := e.serve(ctx, ex, req, body)
	e.counters.record(err)
	if err != nil {
		e.recordRefusal(ex, err)
		return nil, err
	}
	return e.trackAnswer(ex, answer), nil
}

func (e *Entry) serve(ctx context.Context, ex *exchange, req Request, body io.Reader) (*call.Answer, error) {
	r, stripped, err := e.resolve(req)
	ex.rules = r
	if err != nil {
		return nil, err
	}
	if !r.match.Route.Open && !e.lease.Confirmed() {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "this daemon's settings are not confirmed").After(unconfirmedRetryAfter)
	}
	if len(e.directory.Targets(r.match.Service())) == 0 {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the service has no backend server")
	}
	head := headOf(req, r, stripped)
	ctx, cancel := e.Common.Clock.WithTimeout(ctx, head.Remaining)
	if err := e.admit(ctx, r); err != nil {
		cancel()
		return nil, err
	}
	answer, err := e.forwardOnce(ctx, ex, head, body)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &hookedBody{ReadCloser: answer.Body, onClose: cancel}
	return answer, nil
}

// resolve matches the route, checks the key and returns the request without the key.
func (e *Entry) resolve(req Request) (rules, bearer.Request, error) {
	var r rules
	var stripped bearer.Request
	var err error
	e.tail.View(func(s *replay.State) { r, stripped, err = resolveRules(s, req) })
	return r, stripped, err
}

func resolveRules(s *replay.State, req Request) (rules, bearer.Request, error) {
	var r rules
	match, ok := s.Match(req.Host, req.Path)
	if !ok {
		return r, bearer.Request{}, verdict.New(verdict.Unrun, http.StatusNotFound, "no route matches the host and path")
	}
	r.match = match
	if r.service, ok = s.Service(match.Service()); !ok {
		return r, bearer.Request{}, verdict.New(verdict.Unrun, http.StatusNotFound, "the route's service does not exist")
	}
	key, stripped := bearer.Extract(match.Route, bearer.Request{Target: req.Target, Header: req.Header})
	if match.Route.Open && key == "" {
		return r, stripped, nil
	}
	if r.account, ok = s.AccountByKey(bearer.HashOf(key)); !ok {
		if match.Route.Open {
			return r, stripped, nil
		}
		return r, stripped, verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key is missing or not valid")
	}
	if r.limits, ok = s.Account(r.account); !ok {
		return r, stripped, verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key's client account does not exist")
	}
	if ids.TeamOf(r.account) != ids.TeamOf(match.ID) {
		return r, stripped, verdict.New(verdict.Unrun, http.StatusUnauthorized, "the key is not valid for this route")
	}
	return r, stripped, nil
}

// admit acquires a token from the client account's rate limit. Callers without a key are
// not limited.
func (e *Entry) admit(ctx context.Context, r rules) error {
	if r.account == "" {
		return nil
	}
	return e.limiter.Admit(ctx, r.account, r.limits)
}

// hookedBody is an answer's body that calls onClose after it was closed.
type hookedBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (c *hookedBody) Close() error {
	err := c.ReadCloser.Close()
	c.onClose()
	return err
}
