package entry

import (
	"context"
	"net/http"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// maxAttempts limits the attempts at one request, the first included.
const maxAttempts = 3

// forwarding is the state of one request that is being forwarded. tried holds the targets
// that were chosen for it.
type forwarding struct {
	exchange *exchange
	head     call.Head
	body     *replayBody
	service  *serviceState
	tried    map[ids.Target]bool
}

// forward sends the request to one target after the other until one answers. It gives up
// when the context is done, a retry could execute the request twice, the service's retry
// budget or maxAttempts is exhausted, or no untried target is left.
func (e *Entry) forward(ctx context.Context, ex *exchange, head call.Head, replay *replayBody) (*call.Answer, error) {
	f := &forwarding{exchange: ex, head: head, body: replay, tried: map[ids.Target]bool{}}
	f.service = e.services.beginRequest(e.Common.Clock.Now(), head.Service, ex.service.Retries)
	var failed error
	for {
		answer, err := e.attempt(ctx, f)
		if err == nil {
			return answer, nil
		}
		failed = worse(failed, err)
		if ctx.Err() != nil || len(f.tried) >= maxAttempts || !f.mayRetry(err) || !f.service.tryWithdraw() {
			return nil, failed
		}
		if len(e.directory.Targets(head.Service)) <= len(f.tried) {
			return nil, failed
		}
		e.counters.retries.Inc(1)
	}
}

// mayRetry reports whether the request can be sent to another target after the error.
func (f *forwarding) mayRetry(err error) bool {
	return f.body.replayable() && (verdict.Of(err) == verdict.Unrun || f.head.Idempotent)
}

// mayHedge reports whether the request can be executed by two targets concurrently.
func (f *forwarding) mayHedge() bool {
	return f.head.Patience == settings.PatienceShort && f.head.Idempotent && f.body.replayable()
}

// attempt sends the request to one target. If the route allows hedging, it is also sent to
// a second target when the first doesn't answer within the hedge delay.
func (e *Entry) attempt(ctx context.Context, f *forwarding) (*call.Answer, error) {
	target, err := e.chooseTarget(f)
	if err != nil {
		return nil, err
	}
	if delay, ok := f.service.hedgeDelay(); ok && f.mayHedge() {
		return e.sendHedged(ctx, f, target, delay)
	}
	return e.send(ctx, f, target, len(f.tried))
}

// chooseTarget picks a target that was not tried yet and marks it as tried.
func (e *Entry) chooseTarget(f *forwarding) (directory.Candidate, error) {
	list := e.directory.Targets(f.head.Service)
	i := e.pickTarget(f.head.Service, list, f.tried)
	if i < 0 {
		return directory.Candidate{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no backend server took the request")
	}
	f.tried[list[i].ID] = true
	f.exchange.target = list[i].ID
	return list[i], nil
}

// send sends the request to one target and blocks until the head of its answer. It updates
// the load, reachability and latency statistics. attempt counts from 1.
func (e *Entry) send(ctx context.Context, f *forwarding, to directory.Candidate, attempt int) (*call.Answer, error) {
	head := f.head
	head.Server = to.ID
	head.Attempt = attempt
	if left, ok := e.Common.Clock.Remaining(ctx); ok {
		head.Remaining = left
	}
	startedAt := e.Common.Clock.Now()
	e.balancer.Begin(startedAt, to.ID)
	answer, err := e.hop.Forward(ctx, to.Daemon, head, f.body.reader())
	now := e.Common.Clock.Now()
	e.recordReach(ctx, to.Daemon, answer, err, now)
	if err != nil {
		e.balancer.End(to.ID)
		e.recordFailedAttempt(to.ID, answer, err)
		return nil, err
	}
	e.balancer.UpdateLoad(now, answer.Load)
	f.service.recordLatency(now, now.Sub(startedAt))
	answer.Body = &hookedBody{ReadCloser: answer.Body, onClose: func() { e.balancer.End(to.ID) }}
	return answer, nil
}

// recordFailedAttempt updates the load from a refusal that reports one. Otherwise it
// records a failure if the request was not executed: the gatekeeper was not reached.
func (e *Entry) recordFailedAttempt(id ids.Target, answer *call.Answer, err error) {
	now := e.Common.Clock.Now()
	switch {
	case answer != nil && answer.Load.Target != "":
		e.balancer.UpdateLoad(now, answer.Load)
	case verdict.Of(err) == verdict.Unrun:
		e.balancer.RecordFailure(now, id)
	}
}
