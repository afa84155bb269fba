package quota

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Basis is what a decision is based on. The values appear in log lines and stay the words that
// operators know.
type Basis string

// The bases of decisions.
const (
	// BasisUnlimited: the account has no rate limit.
	BasisUnlimited Basis = "unlimited"
	// BasisLeader: this daemon is the quota leader of the account, and its bucket decided.
	BasisLeader Basis = "held"
	// BasisBorrowed: the answer of the leader decided.
	BasisBorrowed Basis = "asked"
	// BasisCached: a cached token that the leader lent before was consumed.
	BasisCached Basis = "stocked"
	// BasisExhausted: the leader had no tokens a moment ago.
	BasisExhausted Basis = "empty"
	// BasisFallback: the leader does not answer, and this daemon's fallback share, an equal part
	// of the limit, decided.
	BasisFallback Basis = "alone"
	// BasisCanceled: the caller canceled the request before the leader answered.
	BasisCanceled Basis = "left"
)

// Decision states whether a client account may send one more request.
type Decision struct {
	Admitted bool
	Basis    Basis
	// Leader is the quota leader of the account, as far as this daemon knows.
	Leader ids.Address
	// RetryAfter is when the account may have tokens again.
	RetryAfter time.Duration
}
