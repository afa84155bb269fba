// Package bucket implements a token bucket as a plain value. It doesn't lock; its
// owner does.
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

// Bucket is a token bucket that fills at Rate up to Burst. The zero value never
// yields a token.
type Bucket struct {
	Rate        units.Rate
	Burst       units.Tokens
	balance     units.Tokens
	filledAt    units.Instant
	initialized bool
}

// SetBalance sets the balance as of now, at most Burst. A bucket without a balance
// is empty at its first use.
func (b *Bucket) SetBalance(now units.Instant, balance units.Tokens) {
	b.balance = min(balance, b.Burst)
	b.filledAt = now
	b.initialized = true
}

// Resize changes the rate and the burst from now on. A balance over the new burst
// is cut down to it.
func (b *Bucket) Resize(now units.Instant, rate units.Rate, burst units.Tokens) {
	b.fill(now)
	b.Rate, b.Burst = rate, burst
	b.balance = min(b.balance, burst)
}

// Refund adds n tokens; what exceeds the burst is lost.
func (b *Bucket) Refund(now units.Instant, n units.Tokens) {
	b.fill(now)
	b.balance = min(b.balance+n, b.Burst)
}

// Consume removes n tokens. It returns false and removes none when there are fewer.
func (b *Bucket) Consume(now units.Instant, n units.Tokens) bool {
	b.fill(now)
	if b.balance < n {
		return false
	}
	b.balance -= n
	return true
}

// Charge removes n tokens that were spent already. The balance may become negative, but not
// less than -debt.
func (b *Bucket) Charge(now units.Instant, n, debt units.Tokens) {
	b.fill(now)
	b.balance = max(b.balance-n, min(b.balance, -debt))
}

// Balance returns the tokens that are available now.
func (b *Bucket) Balance(now units.Instant) units.Tokens {
	b.fill(now)
	return b.balance
}

// TimeUntil returns how long it takes until n tokens are available, or 0 when the
// rate is 0.
func (b *Bucket) TimeUntil(now units.Instant, n units.Tokens) time.Duration {
	b.fill(now)
	if b.balance >= n || b.Rate <= 0 {
		return 0
	}
	missing := float64(n-b.balance) / float64(units.Token)
	return time.Duration(missing / float64(b.Rate) * float64(time.Second))
}

// fill adds the tokens that the rate has yielded since filledAt, in whole units of
// units.Tokens. It advances filledAt only by the time that these took, so that the
// remaining fraction counts at the next fill.
func (b *Bucket) fill(now units.Instant) {
	if !b.initialized {
		b.SetBalance(now, 0)
	}
	add := b.Rate.Over(now.Sub(b.filledAt))
	if add <= 0 {
		return
	}
	// Rounded up: rounding down would gain up to a nanosecond of tokens on each fill,
	// which adds up.
	elapsed := time.Duration(math.Ceil(float64(add) / float64(units.Token) / float64(b.Rate) * float64(time.Second)))
	b.filledAt = min(b.filledAt.Add(elapsed), now)
	b.balance = min(b.balance+add, b.Burst)
	if b.balance == b.Burst {
		b.filledAt = now
	}
}
