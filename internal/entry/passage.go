package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// passage is one request with the rules that it falls under and what became of it.
type passage struct {
	rules
	// caller ends when the caller gives up.
	caller context.Context
	began  units.Instant
	// target is the last one that was chosen.
	target ids.Target
}

// refused notes a request that got no answer of a backend server. A refusal for
// what the caller did says nothing about the service.
func (e *Entry) refused(p *passage, err error) {
	if p.caller.Err() != nil {
		return
	}
	var v *verdict.Error
	if errors.As(err, &v) && v.Status < http.StatusInternalServerError {
		return
	}
	e.noteBurn(p, false)
}

// answered returns the answer with a body that notes how the request ended. The
// time counts until the head of the answer, since the caller sets the pace after it.
func (e *Entry) answered(p *passage, answer *call.Answer) *call.Answer {
	if answer.Load.Target != "" {
		p.target = answer.Load.Target
	}
	took := e.Common.Clock.Now().Sub(p.began)
	answer.Body = &judged{ReadCloser: answer.Body, entry: e, passage: p, good: good(p.service.Latency, answer.Status, took)}
	return answer
}

func good(objective time.Duration, status int, took time.Duration) bool {
	return status < http.StatusInternalServerError && took <= objective
}

func (e *Entry) noteBurn(p *passage, good bool) {
	if p.match.ID == "" {
		return
	}
	e.burn.Record(burn.Event{Service: p.match.Service(), Account: p.account, Target: p.target, Good: good})
}

// judged is an answer's body that notes the request once, at the body's end. A body
// that is closed before its end tells only that the caller gave up.
type judged struct {
	io.ReadCloser
	entry   *Entry
	passage *passage
	good    bool
	noted   bool
}

// Read implements io.Reader.
func (j *judged) Read(b []byte) (int, error) {
	n, err := j.ReadCloser.Read(b)
	if err == nil || j.noted {
		return n, err
	}
	j.noted = true
	whole := errors.Is(err, io.EOF)
	if whole || j.passage.caller.Err() == nil {
		j.entry.noteBurn(j.passage, j.good && whole)
	}
	return n, err
}
