package quota

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// How says what decided on a request.
type How string

// What decides.
const (
	// Unlimited accounts have no rate.
	Unlimited How = "unlimited"
	// Held: this daemon holds the account, and its bucket decided.
	Held How = "held"
	// Asked: the holder was asked.
	Asked How = "asked"
	// Stocked: the holder lent for it before.
	Stocked How = "stocked"
	// Empty: the holder had nothing a moment ago.
	Empty How = "empty"
	// Alone: the holder does not answer, and this daemon's equal part of the limit decided.
	Alone How = "alone"
	// Left: the caller left before the holder answered.
	Left How = "left"
)

// Decision is whether a client account may send one more request.
type Decision struct {
	Admitted bool
	How      How
	// Holder is the daemon that holds the account, as far as this one knows.
	Holder ids.Address
	// RetryAfter is when the account may have room again.
	RetryAfter time.Duration
}
