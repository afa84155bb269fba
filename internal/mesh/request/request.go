// Package request holds a request and its answer as plain values on their way
// through the fleet, free of any encoding.
//
// # Usage
//
//	answer, err := router.Serve(ctx, request.Arrival{Method: "GET", Path: "/quotes/7"})
package request

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Inbound is a request as a front end received it.
type Inbound struct {
	ID     ids.Call
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Path   string
	Host   string
	// Header holds what is sent on; the key is not in it.
	Header map[string][]string
	Body   []byte
	// Key is the caller's key, or empty.
	Key string
	// Timeout is the time that the caller waits, or zero.
	Timeout time.Duration
}

// Terms is what a gatekeeper decides by. They are sent before the rest of a request,
// which follows only when a slot is granted.
type Terms struct {
	Service ids.Service `cbor:"1,keyasint"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"2,keyasint,omitempty"`
	// Nested requests were made by a target while it runs another request.
	Nested bool     `cbor:"3,keyasint,omitempty"`
	Rank   ids.Rank `cbor:"4,keyasint,omitempty"`
	// Remaining is the time left; each hop measures it on its own clock.
	Remaining time.Duration `cbor:"5,keyasint"`
	// IgnoreBreaker asks a gatekeeper to admit the request although its breaker is open.
	IgnoreBreaker bool `cbor:"6,keyasint,omitempty"`
	// Retry is set when another target got the request before.
	Retry bool `cbor:"7,keyasint,omitempty"`
	// MaxQueueTime is the longest time in a queue that is of use to the caller.
	MaxQueueTime time.Duration `cbor:"8,keyasint"`
	// ParentRetry is how likely an inner request was made by a request that another target
	// got before, from 0 to 1.
	ParentRetry float64 `cbor:"9,keyasint,omitempty"`
}

// Outbound is a request on its way to a target, with its body.
type Outbound struct {
	ID     ids.Call            `cbor:"1,keyasint"`
	Method string              `cbor:"2,keyasint"`
	Target string              `cbor:"3,keyasint"`
	Host   string              `cbor:"4,keyasint"`
	Header map[string][]string `cbor:"5,keyasint,omitempty"`
	// Caller is the service of the VM where the request began.
	Caller  ids.Service `cbor:"6,keyasint"`
	Account ids.Account `cbor:"7,keyasint,omitempty"`
	Body    []byte      `cbor:"8,keyasint,omitempty"`
}

// Load is what a gatekeeper tells about its target with every answer.
type Load struct {
	Running int         `cbor:"1,keyasint,omitempty"`
	Waiting int         `cbor:"2,keyasint,omitempty"`
	Slots   units.Slots `cbor:"3,keyasint,omitempty"`
	// BreakerOpen is set while the breaker is not closed.
	BreakerOpen bool `cbor:"4,keyasint,omitempty"`
	// ProbeIn is when a request may try a target whose breaker is open.
	ProbeIn time.Duration `cbor:"6,keyasint,omitempty"`
	// TypicalLatency is the usual time of one request at this target.
	TypicalLatency time.Duration `cbor:"5,keyasint,omitempty"`
	// RetriesLeft is how many requests that another target got before are let through.
	RetriesLeft int `cbor:"7,keyasint,omitempty"`
}

// Answer is a whole answer of a target.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
}
