// Package call defines a forwarded request and its answer, independent of the protocols
// that carry them.
//
// # Usage
//
//	head := call.Head{Method: "GET", Target: "/quotes/7", Remaining: 2 * time.Second}
//	answer, err := forwarder.Forward(ctx, head, body)
package call

import (
	"context"
	"io"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// UnknownLength is the length of a body whose length was not announced.
const UnknownLength units.Bytes = -1

// Head is a request without its body. It doesn't contain the client account's key.
type Head struct {
	Method string
	// Target is the request target as the caller sent it, path and query with their
	// escapes, but without the key.
	Target string
	Host   string
	Header map[string][]string
	Length units.Bytes

	Service    ids.Service
	Route      ids.Route
	Account    ids.Account
	Weight     units.Weight
	Patience   settings.Patience
	Idempotent bool
	// Remaining is the time until the deadline. It is a duration, because the clocks of
	// daemons differ; each hop computes it anew with its own clock.
	Remaining time.Duration
	// Server is the target that the entry daemon chose, behind the gatekeeper that
	// receives the request.
	Server ids.Target
	// Attempt is the number of this attempt, from 1. Retries and hedges of one request
	// differ in Attempt, Server and Remaining only.
	Attempt int
}

// Load is the load of one target. Its gatekeeper reports it with every answer and refusal.
type Load struct {
	Target   ids.Target
	InFlight int
	Queued   int
	Slots    units.Slots
	// Typical is the moving average of the time that the target takes for a request.
	Typical time.Duration
	Leaving bool
}

// Answer is an answer whose head was received. Read of Body returns an error other than
// io.EOF if the answer is truncated. The values of Trailer are complete after io.EOF.
type Answer struct {
	Status  int
	Header  map[string][]string
	Trailer map[string][]string
	Length  units.Bytes
	Load    Load
	Body    io.ReadCloser
}

// Forwarder forwards a request towards a backend server and returns when the head of the
// answer was received. Errors carry a verdict.
type Forwarder interface {
	Forward(ctx context.Context, head Head, body io.Reader) (*Answer, error)
}
