package quota

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Basis says what decided on a request.
type Basis string

// What decides.
const (
	// BasisUnlimited accounts have no rate.
	BasisUnlimited Basis = "unlimited"
	// BasisLeader: this daemon holds the account, and its bucket decided.
	BasisLeader Basis = "held"
	// BasisBorrowed: the holder was asked.
	BasisBorrowed Basis = "asked"
	// BasisCached: the holder lent for it before.
	BasisCached Basis = "stocked"
	// BasisExhausted: the holder had nothing a moment ago.
	BasisExhausted Basis = "empty"
	// BasisFallback: the holder does not answer, and this daemon's equal part of the limit decided.
	BasisFallback Basis = "alone"
	// BasisCanceled: the caller left before the holder answered.
	BasisCanceled Basis = "left"
)

// Decision is whether a client account may send one more request.
type Decision struct {
	Admitted bool
	Basis      Basis
	// Leader is the daemon that holds the account, as far as this one knows.
	Leader ids.Address
	// RetryAfter is when the account may have room again.
	RetryAfter time.Duration
}
