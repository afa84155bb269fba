// Package bucket holds a token bucket as a plain value.
//
// # Usage
//
//	b := bucket.Bucket{Rate: 10, Burst: 20 * units.Token}
//	ok := b.Take(now, units.Token)
package bucket

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Bucket fills at Rate up to Burst. The zero value never yields a token.
type Bucket struct {
	Rate        units.Rate
	Burst       units.Tokens
	balance     units.Tokens
	filledAt    units.Instant
	initialized bool
}

// SetBalance sets the balance at an instant; a bucket that is not primed is empty at
// its first use.
func (b *Bucket) SetBalance(now units.Instant, balance units.Tokens) {
	b.balance = min(balance, b.Burst)
	b.filledAt = now
	b.initialized = true
}

// Resize changes the rate and the burst from an instant on.
func (b *Bucket) Resize(now units.Instant, rate units.Rate, burst units.Tokens) {
	b.fill(now)
	b.Rate, b.Burst = rate, burst
	b.balance = min(b.balance, burst)
}

// Refund adds n tokens, up to the burst.
func (b *Bucket) Refund(now units.Instant, n units.Tokens) {
	b.fill(now)
	b.balance = min(b.balance+n, b.Burst)
}

// Consume removes n tokens when there are as many.
func (b *Bucket) Consume(now units.Instant, n units.Tokens) bool {
	b.fill(now)
	if b.balance < n {
		return false
	}
	b.balance -= n
	return true
}

// Balance returns the tokens at an instant.
func (b *Bucket) Balance(now units.Instant) units.Tokens {
	b.fill(now)
	return b.balance
}

// TimeUntil returns how long it takes until n tokens are there.
func (b *Bucket) TimeUntil(now units.Instant, n units.Tokens) time.Duration {
	b.fill(now)
	if b.balance >= n || b.Rate <= 0 {
		return 0
	}
	missing := float64(n-b.balance) / float64(units.Token)
	return time.Duration(missing / float64(b.Rate) * float64(time.Second))
}

// fill adds the whole tokens that the time since the last fill yields. The
// fraction that remains is kept by moving the fill instant only as far as the
// tokens that were added.
func (b *Bucket) fill(now units.Instant) {
	if !b.initialized {
		b.SetBalance(now, 0)
	}
	add := b.Rate.Over(now.Sub(b.filledAt))
	if add <= 0 {
		return
	}
	// Rounded up, because a nanosecond given away on each fill adds up.
	elapsed := time.Duration(math.Ceil(float64(add) / float64(units.Token) / float64(b.Rate) * float64(time.Second)))
	b.filledAt = min(b.filledAt.Add(elapsed), now)
	b.balance = min(b.balance+add, b.Burst)
	if b.balance == b.Burst {
		b.filledAt = now
	}
}
