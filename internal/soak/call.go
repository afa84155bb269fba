package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/internal/standin"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// callPause is the typical time between two requests of one caller.
	callPause = 100 * time.Millisecond
	timeout   = 2 * time.Second
	// repeats is the share of the POSTs with an Idempotency-Key that are repeated.
	repeats = 0.5
	posts   = 0.5
	guarded = 0.3
	// steadily is the share of the requests of the account with the highest rate.
	steadily = 0.6
)

// query is one request of a caller.
type query struct {
	name string
	// attempt counts the repeats under one Idempotency-Key, from 0.
	attempt int
	post    bool
	guarded bool
	service ids.Service
	key     *key
}

// call starts the callers; they end with the run.
func (s *Soak) call() *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { s.caller(i) })
	}
	return &wg
}

func (s *Soak) caller(i int) {
	rng := s.rng(uint64(i) + 1)
	for n := 0; s.pause(exp(rng, callPause)); n++ {
		q := query{name: fmt.Sprintf("c%d-%d", i, n), post: rng.Float64() < posts}
		q.guarded = q.post && rng.Float64() < guarded
		q.service = servicesOf[rng.IntN(len(servicesOf))]
		q.key = s.keys.pick(s.drawKey(rng))
		s.ask(rng, q)
		for q.guarded && rng.Float64() < repeats {
			q.attempt++
			s.ask(rng, q)
		}
	}
}

// drawKey draws the number of a key; the first key is that of the account with the
// highest rate.
func (s *Soak) drawKey(rng *rand.Rand) int {
	if rng.Float64() < steadily {
		return 0
	}
	return rng.IntN(1 << 16)
}

// ask sends the request through a random daemon and notes what came back.
func (s *Soak) ask(rng *rand.Rand, q query) {
	l := s.nodes[rng.IntN(daemons)].enter()
	if l == nil {
		return
	}
	defer l.inside.Done()
	line := ledger.Line{
		Request: fmt.Sprintf("%s/%d", q.name, q.attempt), Account: q.key.account, Service: q.service,
		Idempotent: !q.post, Sent: s.since(),
	}
	text, status, err := l.serve(q)
	line.Done, line.Status = s.since(), status
	if line.Verdict = verdict.Ran; err != nil {
		line.Verdict = verdict.Of(err)
	}
	line.Wrong = line.OK() && !strings.HasSuffix(text, " to "+q.name)
	s.ledger.Add(line)
	if line.Verdict != verdict.Unrun && s.keys.deadSince(q.key, line.Sent) {
		s.breach("request %s through %s ran or may have run with key %s, whose withdrawal was in force at %s", line.Request, l.node.id, q.key.path, q.key.dead)
	}
}

// serve hands the request to the daemon's entry and reads the answer.
func (l *life) serve(q query) (string, int, error) {
	ctx, cancel := l.within(context.Background())
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, 2*timeout)
	defer stop()
	if err := l.pass(ctx); err != nil {
		return "", http.StatusServiceUnavailable, verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "not accepted", err)
	}
	answer, err := l.entry.Serve(ctx, arrivalOf(q), nil)
	if err != nil {
		status := statusOf(err)
		if l.pass(ctx) != nil {
			return "", 0, broken(err)
		}
		return "", status, err
	}
	text, err := read(answer)
	if late := l.pass(ctx); late != nil || err != nil {
		return text, 0, broken(context.Canceled)
	}
	return text, answer.Status, nil
}

func read(a *call.Answer) (string, error) {
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	return string(text), err
}

func arrivalOf(q query) entry.Request {
	path := "/" + string(q.service[len(team)+1:]) + "/" + q.name
	a := entry.Request{
		Method: http.MethodGet, Target: path, Path: path, Host: "soak",
		Header: map[string][]string{
			"Authorization":       {"Bearer " + q.key.secret},
			standin.RequestHeader: {q.name},
		},
		Length:  units.Bytes(0),
		Timeout: timeout,
	}
	if q.post {
		a.Method = http.MethodPost
	}
	if q.guarded {
		a.Header["Idempotency-Key"] = []string{q.name}
	}
	return a
}

func statusOf(err error) int {
	var e *verdict.Error
	if asVerdict(err, &e) {
		return e.Status
	}
	return http.StatusBadGateway
}
