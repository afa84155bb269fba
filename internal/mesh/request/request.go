// Package request defines a request and its answer as plain values, independent of HTTP
// and of the encoding between daemons.
//
// # Usage
//
//	answer, err := router.Serve(ctx, request.Inbound{Method: "GET", Path: "/quotes/7"})
package request

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/mesh/hold"
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
	// Header holds the headers that are passed on. The key is not among them.
	Header map[string][]string
	Body   body.Body
	// Answers holds the memory of the answers to the request.
	Answers *hold.Hold
	// Key is the caller's key, or empty.
	Key string
	// Timeout is how long the caller waits, or zero if it did not say.
	Timeout time.Duration
}

// Terms are the properties of a request by which a gatekeeper admits or declines it.
// They are sent first; the request follows only when a slot is granted.
type Terms struct {
	Service ids.Service `cbor:"1,keyasint"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"2,keyasint,omitempty"`
	// Nested is set when a target made the request while running another one.
	Nested bool     `cbor:"3,keyasint,omitempty"`
	Rank   ids.Rank `cbor:"4,keyasint,omitempty"`
	// Remaining is the time until the deadline. Each hop measures it on its own clock.
	Remaining time.Duration `cbor:"5,keyasint"`
	// IgnoreBreaker asks the gatekeeper to admit the request even if its breaker is open.
	IgnoreBreaker bool `cbor:"6,keyasint,omitempty"`
	// Retry is set when another target received the request before.
	Retry bool `cbor:"7,keyasint,omitempty"`
	// MaxQueueTime is the longest time in a queue after which an answer is still of use.
	MaxQueueTime time.Duration `cbor:"8,keyasint"`
	// ParentRetry is the probability, from 0 to 1, that a nested request was made by a
	// request that is itself a retry.
	ParentRetry float64 `cbor:"9,keyasint,omitempty"`
}

// Outbound is a request on its way to a target, with its body.
type Outbound struct {
	ID     ids.Call            `cbor:"1,keyasint"`
	Method string              `cbor:"2,keyasint"`
	Target string              `cbor:"3,keyasint"`
	Host   string              `cbor:"4,keyasint"`
	Header map[string][]string `cbor:"5,keyasint,omitempty"`
	// Caller is the service of the VM whose daemon received the request from its caller.
	Caller  ids.Service `cbor:"6,keyasint"`
	Account ids.Account `cbor:"7,keyasint,omitempty"`
	Body    body.Body   `cbor:"8,keyasint,omitzero"`
	// Answers holds the memory of the answers at this daemon.
	Answers *hold.Hold `cbor:"-"`
	// Accepted, if it is set, is called when a gatekeeper has granted a slot or queued the request. It
	// may be called more than once.
	Accepted func() `cbor:"-"`
}

// Load is a gatekeeper's report on its target, which goes with every answer.
type Load struct {
	Running int         `cbor:"1,keyasint,omitempty"`
	Waiting int         `cbor:"2,keyasint,omitempty"`
	Slots   units.Slots `cbor:"3,keyasint,omitempty"`
	// BreakerOpen is set while the circuit breaker is not closed.
	BreakerOpen bool `cbor:"4,keyasint,omitempty"`
	// ProbeIn is the time until an open breaker may admit the next probe.
	ProbeIn time.Duration `cbor:"6,keyasint,omitempty"`
	// TypicalLatency is the moving average of a request's duration at the target.
	TypicalLatency time.Duration `cbor:"5,keyasint,omitempty"`
	// RetriesLeft is how many retries the gatekeeper still admits.
	RetriesLeft int `cbor:"7,keyasint,omitempty"`
	// WarmUp is how much longer the target stays cold, if the configuration limits requests to cold
	// targets, and ColdRoom how many of them it bears now.
	WarmUp   time.Duration `cbor:"8,keyasint,omitempty"`
	ColdRoom int           `cbor:"9,keyasint,omitempty"`
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   body.Body           `cbor:"3,keyasint,omitzero"`
}
