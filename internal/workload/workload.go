// Package workload sends the requests of client accounts to a fleet, at the rate
// that each account asks for, whether or not answers come.
//
// # Usage
//
//	w := &workload.Workload{Bases: urls, Ledger: &l, Seed: 7}
//	w.Begin()
//	w.Run(ctx, sources) // until ctx ends and every answer has come
package workload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/internal/standin"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Workload sends requests to daemons chosen at random.
type Workload struct {
	// Bases are the daemons' URLs for callers.
	Bases  []string
	Ledger *ledger.Ledger
	Seed   uint64

	mu     sync.RWMutex
	start  time.Time
	client http.Client
	next   atomic.Int64
}

// Source is one stream of requests of a client account.
type Source struct {
	Account ids.Account
	Key     string
	Service ids.Service
	// Prefix is the path under which requests are sent.
	Prefix string
	// Rate is the mean number of requests per second; arrivals are random.
	Rate units.Rate
	// Posts is the share of requests that are not idempotent.
	Posts float64
	// From and To bound the time of sending, counted from the start of the run.
	From, To time.Duration
	// Over marks requests that are meant to exceed the account's rate.
	Over bool
	// Withdrawn marks requests whose key is withdrawn during the run.
	Withdrawn bool
}

// Begin starts the clock of the run.
func (w *Workload) Begin() { w.start = time.Now() }

// Run sends until ctx ends or all sources are over, and waits for the answers.
func (w *Workload) Run(ctx context.Context, sources []Source) {
	w.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	var wg sync.WaitGroup
	for i, s := range sources {
		rng := rand.New(rand.NewPCG(w.Seed, uint64(i)))
		wg.Go(func() { w.send(ctx, rng, s) })
	}
	wg.Wait()
	w.client.CloseIdleConnections()
}

// Elapsed returns the time since the start of the run.
func (w *Workload) Elapsed() time.Duration { return time.Since(w.start) }

// send is the task of one source. Each request has a task of its own, so that a
// slow answer does not slow the arrivals.
func (w *Workload) send(ctx context.Context, rng *rand.Rand, s Source) {
	var wg sync.WaitGroup
	defer wg.Wait()
	at := s.From
	for {
		at += time.Duration(rng.ExpFloat64() / float64(s.Rate) * float64(time.Second))
		if at >= s.To || !sleep(ctx, at-w.Elapsed()) {
			return
		}
		post := rng.Float64() < s.Posts
		base := w.base(rng)
		wg.Go(func() { w.request(s, base, post) })
	}
}

// SetBases changes the daemons that requests are sent to from now on.
func (w *Workload) SetBases(bases []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Bases = bases
}

func (w *Workload) base(rng *rand.Rand) string {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.Bases[rng.IntN(len(w.Bases))]
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// request sends one request and records what came back.
func (w *Workload) request(s Source, base string, post bool) {
	name := fmt.Sprintf("r%d", w.next.Add(1))
	line := ledger.Line{Request: name, Account: s.Account, Service: s.Service, Idempotent: !post, Over: s.Over, Withdrawn: s.Withdrawn}
	line.Sent = w.Elapsed()
	resp, err := w.client.Do(newRequest(s, base, name, post))
	if err == nil {
		line.Status = resp.StatusCode
		line.Verdict = verdict.Verdict(resp.Header.Get("Verdict"))
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr != nil {
			line.Status = 0
			line.Verdict = verdict.Maybe
		}
		line.Wrong = line.OK() && !strings.HasSuffix(string(body), name)
	} else {
		line.Verdict = verdict.Maybe
	}
	line.Done = w.Elapsed()
	w.Ledger.Add(line)
}

func newRequest(s Source, base, name string, post bool) *http.Request {
	method := http.MethodGet
	var body io.Reader
	if post {
		method = http.MethodPost
		body = strings.NewReader("order " + name)
	}
	req, err := http.NewRequest(method, base+s.Prefix+"/"+name, body)
	if err != nil {
		panic(err) // the URL is made of parts that this program chose
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set(standin.RequestHeader, name)
	return req
}
