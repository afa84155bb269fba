// Package retrybudget limits the retries and hedges of one service to a share of its
// requests, so that a failing service is not sent a multiple of its load.
//
// # Usage
//
//	b.Deposit(now, 10) // for each request: 10 percent
//	if b.TryWithdraw() {
//		send it again
//	}
package retrybudget

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// minRetriesPerSecond is added regardless of traffic, so that a service with few
	// requests can retry at all.
	minRetriesPerSecond = 2.0
	// maxBalance bounds the retries that accumulate while few are needed.
	maxBalance = 50.0
	// initialBalance is the number of retries that a service starts with.
	initialBalance = 10.0
)

// Budget counts the retries that a service may still send. The zero value gets the
// initial balance at the first deposit. It is not safe for concurrent use.
type Budget struct {
	started    bool
	balance    float64
	refilledAt units.Instant
}

// Deposit adds the share of one request. A share of zero sets the balance to zero.
func (b *Budget) Deposit(now units.Instant, share units.Percent) {
	b.refill(now, share)
	if share > 0 {
		b.balance = min(b.balance+float64(share)/100, maxBalance)
	}
}

// TryWithdraw takes one retry from the budget, or returns false when it is exhausted.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refill adds the minimum rate for the time since the last call. A share of zero
// allows no retries.
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
