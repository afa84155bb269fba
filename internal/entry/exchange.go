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
type exchange struct {
	rules
	// caller ends when the caller gives up.
	caller    context.Context
	startedAt units.Instant
	// target is the last one that was chosen.
	target ids.Target
}

// refused notes a request that got no answer of a backend server. A refusal for
// what the caller did says nothing about the service.
func (e *Entry) recordRefusal(ex *exchange, err error) {
	if ex.caller.Err() != nil {
		return
	}
	var v *verdict.Error
	if errors.As(err, &v) && v.Status < http.StatusInternalServerError {
		return
	}
	e.recordBurn(ex, false)
}

// answered returns the answer with a body that notes how the request ended. The
// time counts until the head of the answer, since the caller sets the pace after it.
func (e *Entry) trackAnswer(ex *exchange, answer *call.Answer) *call.Answer {
	if answer.Load.Target != "" {
		ex.target = answer.Load.Target
	}
	took := e.Common.Clock.Now().Sub(ex.startedAt)
	answer.Body = &trackedBody{ReadCloser: answer.Body, entry: e, exchange: ex, good: good(ex.service.Latency, answer.Status, took)}
	return answer
}

func good(objective time.Duration, status int, took time.Duration) bool {
	return status < http.StatusInternalServerError && took <= objective
}

func (e *Entry) recordBurn(ex *exchange, good bool) {
	if ex.match.ID == "" {
		return
	}
	e.burn.Note(burn.Event{Service: ex.match.Service(), Account: ex.account, Target: ex.target, Good: good})
}

// judged is an answer's body that notes the request once, at the body's end. A body
// that is closed before its end tells only that the caller gave up.
type trackedBody struct {
	io.ReadCloser
	entry    *Entry
	exchange *exchange
	good     bool
	recorded bool
}

// Read implements io.Reader.
func (t *trackedBody) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	if err == nil || t.recorded {
		return n, err
	}
	t.recorded = true
	complete := errors.Is(err, io.EOF)
	if complete || t.exchange.caller.Err() == nil {
		t.entry.recordBurn(t.exchange, t.good && complete)
	}
	return n, err
}
