// Package units defines the types of the quantities that daemons compute with.
//
// # Usage
//
//	var now units.Instant = clock.Now()
//	if now.Sub(sentAt) > 2*time.Second { ... }
package units

import "time"

type (
	// Instant is a reading of a daemon's own monotonic clock, in nanoseconds since
	// the clock was started. Instants of two daemons can't be compared.
	Instant int64
	// Tokens is an amount in a client account's token bucket, in thousandths of a request.
	Tokens int64
	// Rate is a number of requests per second.
	Rate float64
	// Slots is the number of requests that a target processes concurrently.
	Slots int
	// Weight is a client account's share relative to other accounts.
	Weight int
	// Bytes is an amount of data, in bytes.
	Bytes int64
	// Percent is a share from 0 to 100.
	Percent float64
)

// Token is the amount of tokens that one request consumes.
const Token Tokens = 1000

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Over returns the tokens that accrue at rate r in d.
func (r Rate) Over(d time.Duration) Tokens {
	return Tokens(float64(r) * d.Seconds() * float64(Token))
}

// Time returns how long n tokens take to accrue at rate r.
func (r Rate) Time(n Tokens) time.Duration {
	return time.Duration(float64(n) / float64(Token) / float64(r) * float64(time.Second))
}
