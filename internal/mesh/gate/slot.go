package gate

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/appclient"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Slot is the permission to run one request. It must end with Run or Release.
type Slot struct {
	gate     *Gate
	terms    request.Terms
	target   Announcement
	queuedAt units.Instant
	// deadline is when the sender stops waiting for the answer.
	deadline units.Instant
	probe    bool
	// sent is set once the request was counted as sent to a target that may be cold.
	sent bool
	done bool
}

// Release frees the slot without running the request. It may be called more than once.
func (s *Slot) Release() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	g.revert(s)
	g.removeRunning(s.terms)
	g.startWaiting()
}

// Run sends the request to the target, blocks until the outcome is known, and frees the
// slot. A slot that was granted before the target began to leave, or its breaker opened,
// is not used: the outcome says that nothing was sent.
func (s *Slot) Run(ctx context.Context, o request.Outbound) (outcome.Outcome, request.Load) {
	g := s.gate
	startedAt := g.Common.Clock.Now()
	if stale := s.start(startedAt, o.ID); stale != nil {
		s.Release()
		return stale, g.Load()
	}
	remaining := s.deadline.Sub(startedAt)
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, remaining)
	defer cancel()
	result := g.client.Call(ctx, appclient.Call{Request: o, Target: s.target.Target, Timeout: remaining, Idempotent: s.terms.Idempotent})
	load := s.end(ctx, o.ID, startedAt, result)
	s.log(o.ID, startedAt, result, load)
	return result, load
}

// start counts a request that is about to be sent to the target, or returns the outcome if
// it must not be sent.
func (s *Slot) start(now units.Instant, id ids.Call) outcome.Outcome {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if stale := s.stale(); stale != nil {
		return stale
	}
	s.sent = true
	if !g.warmth.Send(now) {
		return outcome.Broken{Detail: "the target may be cold and bears no more requests now"}
	}
	check := g.Common.Invariant.Check
	check(g.target.Service == s.terms.Service, "a request runs at a target of another service", zap.String("id", string(id)))
	check(s.terms.Idempotent || !g.seenBefore(id), "a target got a request again that must not run twice", zap.String("id", string(id)))
	s.countRequest(now)
	return nil
}

// countRequest counts the request in the retry limiter. Nested requests don't add to the
// number that the limit is a fraction of, which is that of callers' requests; they count as
// retries as far as their parents are. The caller holds the lock.
func (s *Slot) countRequest(now units.Instant) {
	switch {
	case s.terms.Nested:
		s.gate.retries.CountRetries(now, s.terms.ParentRetry)
	case !s.terms.Retry:
		s.gate.retries.CountRequest(now)
	}
}

// seenBefore reports whether the target received the request before, and records the
// request. It returns false for requests without an id, which can't be told apart.
func (g *Gate) seenBefore(id ids.Call) bool {
	known := true
	g.trackedCalls.Get(id, func() bool {
		known = false
		return true
	})
	return known && id != ""
}

// log writes a log line with the outcome of the request. Operators know the keys trial, for
// a probe of the breaker, repeat, for a retry, and shut, for an open breaker.
func (s *Slot) log(id ids.Call, startedAt units.Instant, o outcome.Outcome, load request.Load) {
	how, detail := "answered", ""
	switch o := o.(type) {
	case outcome.Answered:
		detail = http.StatusText(o.Answer.Status)
	case outcome.Unrun:
		how, detail = "unrun", o.Detail
	case outcome.Broken:
		how, detail = "broken", o.Detail
	}
	g := s.gate
	g.Common.Info(event.RequestForwarded, zap.String("id", string(id)), zap.String("target", string(s.target.Target)),
		zap.String("how", how), zap.String("detail", detail), zap.Bool("trial", s.probe), zap.Bool("repeat", s.terms.Retry),
		zap.Duration("waited", startedAt.Sub(s.queuedAt)), zap.Duration("took", g.Common.Clock.Now().Sub(startedAt)),
		zap.Int("running", load.Running), zap.Int("waiting", load.Waiting), zap.Bool("shut", load.BreakerOpen))
}

// stale returns the outcome if the slot can't be used any more, or nil. The caller holds
// the lock.
func (s *Slot) stale() outcome.Outcome {
	g := s.gate
	switch {
	case g.target.Start() != s.target.Start() || g.target.State != registry.Ready:
		return outcome.Broken{Detail: "the target began to leave"}
	case g.evacuated:
		return outcome.Broken{Detail: "the data centre was evacuated"}
	case g.breaker.Open() && !s.probe && !s.terms.IgnoreBreaker:
		return outcome.Broken{Detail: "the target began to fail"}
	}
	return nil
}

// end records the outcome unless the target was replaced meanwhile, frees the slot and
// returns the new load.
func (s *Slot) end(ctx context.Context, id ids.Call, startedAt units.Instant, o outcome.Outcome) request.Load {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s.done = true
	g.removeRunning(s.terms)
	now := g.Common.Clock.Now()
	if g.target.Start() == s.target.Start() {
		g.recordOutcome(ctx, s, id, now.Sub(startedAt), o)
	}
	g.startWaiting()
	return g.load()
}
