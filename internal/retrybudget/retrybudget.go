// Package retrybudget bounds the retries and hedges of one service to a share of
// its requests, so that a failing service is not sent a multiple of its load.
//
// # Usage
//
//	b.Earn(now, 10) // for each request: 10 percent
//	if b.Spend() {
//		send it again
//	}
package retrybudget

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// minRetriesPerSecond lets a service with few requests retry at all.
	minRetriesPerSecond = 2.0
	// maxBalance bounds what a quiet time saves up.
	maxBalance = 50.0
	// initialBalance is what a service starts with.
	initialBalance = 10.0
)

// Budget counts the retries that a service has left. The zero value holds the
// initial allowance. The caller holds a lock around every call.
type Budget struct {
	started    bool
	balance    float64
	refilledAt units.Instant
}

// Deposit adds one request's share.
func (b *Budget) Deposit(now units.Instant, share units.Percent) {
	b.refill(now, share)
	if share > 0 {
		b.balance = min(b.balance+float64(share)/100, maxBalance)
	}
}

// TryWithdraw takes one retry; false means that the budget is used up.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refill adds the floor since the last call. A share of zero allows no retries.
func (b *Budget) refill(now units.Instant, share units.Percent) {
	if share <= 0 {
		b.balance = 0
		b.started = false
		return
	}
	if !b.started {
		b.started = true
		b.balance = initialBalance
		b.refilledAt = now
		return
	}
	passed := max(now.Sub(b.refilledAt), 0)
	b.refilledAt = now
	b.balance = min(b.balance+minRetriesPerSecond*float64(passed)/float64(time.Second), maxBalance)
}
