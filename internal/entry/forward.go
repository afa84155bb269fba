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

// maxAttempts bounds how often one request is forwarded.
const maxAttempts = 3

// journey is one request on its way, with the targets that it was sent to.
type journey struct {
	passage *passage
	head    call.Head
	body    *replayBody
	memory  *memory
	tried   map[ids.Target]bool
}

// forward tries targets until one answers, a repeat could run the request twice,
// or the service's retry budget is used up.
func (e *Entry) forward(ctx context.Context, p *passage, head call.Head, replay *replayBody) (*call.Answer, error) {
	j := &journey{passage: p, head: head, body: replay, tried: map[ids.Target]bool{}}
	j.memory = e.services.begin(e.Common.Clock.Now(), head.Service, p.service.Retries)
	var failed error
	for {
		answer, err := e.attempt(ctx, j)
		if err == nil {
			return answer, nil
		}
		failed = worse(failed, err)
		if ctx.Err() != nil || len(j.tried) >= maxAttempts || !j.mayRepeat(err) || !j.memory.spend() {
			return nil, failed
		}
		if len(e.directory.Targets(head.Service)) <= len(j.tried) {
			return nil, failed
		}
		e.counts.retries.Inc(1)
	}
}

// mayRepeat reports whether the request can be sent again after the error.
func (j *journey) mayRepeat(err error) bool {
	return j.body.again() && (verdict.Of(err) == verdict.Unrun || j.head.Idempotent)
}

// mayHedge reports whether the request can run at two targets at once.
func (j *journey) mayHedge() bool {
	return j.head.Patience == settings.Short && j.head.Idempotent && j.body.again()
}

// attempt sends the request to one target, or to a second one when the first is
// late and the route allows it.
func (e *Entry) attempt(ctx context.Context, j *journey) (*call.Answer, error) {
	target, err := e.choose(j)
	if err != nil {
		return nil, err
	}
	if late, ok := j.memory.late(); ok && j.mayHedge() {
		return e.hedged(ctx, j, target, late)
	}
	return e.send(ctx, j, target, len(j.tried))
}

// choose picks a target that was not tried yet.
func (e *Entry) choose(j *journey) (directory.Candidate, error) {
	list := e.directory.Targets(j.head.Service)
	i := e.pick(j.head.Service, list, j.tried)
	if i < 0 {
		return directory.Candidate{}, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "no backend server took the request")
	}
	j.tried[list[i].ID] = true
	j.passage.target = list[i].ID
	return list[i], nil
}

// send hands the request to one target and learns from what comes back.
func (e *Entry) send(ctx context.Context, j *journey, to directory.Candidate, attempt int) (*call.Answer, error) {
	head := j.head
	head.Server = to.ID
	head.Attempt = attempt
	if left, ok := e.Common.Clock.Left(ctx); ok {
		head.Remaining = left
	}
	began := e.Common.Clock.Now()
	e.chooser.Begin(began, to.ID)
	answer, err := e.hop.Forward(ctx, to.Daemon, head, j.body.reader())
	now := e.Common.Clock.Now()
	e.noteReach(ctx, to.Daemon, answer, err, now)
	if err != nil {
		e.chooser.End(to.ID)
		e.learn(to.ID, answer, err)
		return nil, err
	}
	e.chooser.UpdateLoad(now, answer.Load)
	j.memory.note(now, now.Sub(began))
	answer.Body = &closing{ReadCloser: answer.Body, then: func() { e.chooser.End(to.ID) }}
	return answer, nil
}

// learn notes the load in a refusal, or that the gatekeeper was not reached.
func (e *Entry) learn(id ids.Target, answer *call.Answer, err error) {
	now := e.Common.Clock.Now()
	switch {
	case answer != nil && answer.Load.Target != "":
		e.chooser.UpdateLoad(now, answer.Load)
	case verdict.Of(err) == verdict.Unrun:
		e.chooser.RecordFailure(now, id)
	}
}
