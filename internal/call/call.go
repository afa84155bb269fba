// Package call holds one request and its answer as plain values, free of any
// encoding.
//
// # Usage
//
//	head := call.Head{Method: "GET", Path: "/quotes/7", Deadline: 2 * time.Second}
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

// UnknownLength marks a body whose length was not announced.
const UnknownLength units.Bytes = -1

// Head is a request without its body. The account's key is not in it.
type Head struct {
	Method string
	// Target is the request target as the caller wrote it: path and query, with
	// escapes untouched.
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
	// Remaining is the time left; each hop measures it on its own clock.
	Remaining time.Duration
	// Server is the backend server that was chosen, behind its gatekeeper.
	Server ids.Target
	// Attempt counts from 1; retries and hedges of one request share the rest.
	Attempt int
}

// Load is what a gatekeeper reports about one target on every answer.
type Load struct {
	Target   ids.Target
	InFlight int
	Queued   int
	Slots    units.Slots
	// Typical is the usual time of one request at this target.
	Typical time.Duration
	Leaving bool
}

// Answer is the head of an answer; Body yields the rest and fails when the
// answer was cut.
type Answer struct {
	Status  int
	Header  map[string][]string
	Trailer map[string][]string
	Length  units.Bytes
	Load    Load
	Body    io.ReadCloser
}

// Forwarder hands a request on towards a backend server. Its errors carry a
// verdict.
type Forwarder interface {
	Forward(ctx context.Context, head Head, body io.Reader) (*Answer, error)
}
