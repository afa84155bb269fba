// Package verdict defines errors that tell whether a request may have run on a backend
// server.
//
// Every refusal and every failed request carries a verdict. Callers use it to decide
// whether a retry is safe: an Unrun request can be retried, a Maybe request only when
// it is idempotent.
//
// # Usage
//
//	err := verdict.New(verdict.Unrun, 429, "account is over its rate")
//	var v *verdict.Error
//	if errors.As(err, &v) && v.Verdict == verdict.Unrun {
//		// The request did not run on a backend server.
//	}
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether a request ran on a backend server.
type Verdict string

// The verdicts, as they appear in the Verdict header and in problem documents.
const (
	// Unrun means that no byte of the request was sent to a backend server, or that the
	// backend server reported that it did not run the request.
	Unrun Verdict = "unrun"
	// Maybe means that the request may have run.
	Maybe Verdict = "maybe"
	// Ran means that the backend server answered.
	Ran Verdict = "ran"
)

// Valid reports whether v is one of the three verdicts.
func (v Verdict) Valid() bool {
	switch v {
	case Unrun, Maybe, Ran:
		return true
	}
	return false
}

// Error is a failed request with its verdict and the HTTP status for the caller.
type Error struct {
	Verdict Verdict
	Status  int
	Reason  string
	// RetryAfter is how long the caller should wait before a retry; it is zero when
	// waiting does not help.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error with the given verdict, HTTP status and reason.
func New(v Verdict, status int, reason string) *Error {
	return &Error{Verdict: v, Status: status, Reason: reason}
}

// Wrap returns an error like New that also carries its cause.
func Wrap(v Verdict, status int, reason string, cause error) *Error {
	return &Error{Verdict: v, Status: status, Reason: reason, Cause: cause}
}

// After returns a copy of e that asks the caller to wait before a retry.
func (e *Error) After(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s, status %d)", e.Reason, e.Verdict, e.Status)
	}
	return fmt.Sprintf("%s (%s, status %d): %v", e.Reason, e.Verdict, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the verdict carried by err. It returns Maybe for an error without a valid
// verdict, since such an error doesn't tell whether the request ran.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) && e.Verdict.Valid() {
		return e.Verdict
	}
	return Maybe
}
