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

// exchange is one request with the settings that apply to it, and what its good or bad
// outcome is recorded under.
type exchange struct {
	rules
	// caller is done when the caller cancels the request.
	caller    context.Context
	startedAt units.Instant
	// target is the target that was chosen last.
	target ids.Target
}

// recordRefusal records a request without an answer of a backend server as bad. A status
// below 500 is the caller's fault and doesn't count, nor does a cancelled request.
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

// trackAnswer wraps the answer's body so that its end records the outcome of the request.
// The latency is measured until the head of the answer, because the caller may read the
// body slowly.
func (e *Entry) trackAnswer(ex *exchange, answer *call.Answer) *call.Answer {
	if answer.Load.Target != "" {
		ex.target = answer.Load.Target
	}
	took := e.Common.Clock.Now().Sub(ex.startedAt)
	answer.Body = &trackedBody{ReadCloser: answer.Body, entry: e, exchange: ex, good: good(ex.service.Latency, answer.Status, took)}
	return answer
}

// good reports whether the answer counts as good: no server error, and within the
// service's latency objective.
func good(objective time.Duration, status int, took time.Duration) bool {
	return status < http.StatusInternalServerError && took <= objective
}

// recordBurn counts the request for the burn rate of its service. A request without a
// route doesn't count.
func (e *Entry) recordBurn(ex *exchange, good bool) {
	if ex.match.ID == "" {
		return
	}
	e.burn.Record(burn.Event{Service: ex.match.Service(), Account: ex.account, Target: ex.target, Good: good})
}

// trackedBody is an answer's body that records the outcome of the request once, at its
// end. A body that is closed before its end isn't recorded, because then the caller has
// cancelled the request.
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
