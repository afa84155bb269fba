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
	// floorPerSecond lets a service with few requests retry at all.
	floorPerSecond = 2.0
	// most bounds what a quiet time saves up.
	most = 50.0
	// initial is what a service starts with.
	initial = 10.0
)

// Budget counts the retries that a service has left. The zero value holds the
// initial allowance. The caller holds a lock around every call.
type Budget struct {
	started bool
	left    float64
	last    units.Instant
}

// Deposit adds one request's share.
func (b *Budget) Deposit(now units.Instant, share units.Percent) {
	b.refill(now, share)
	if share > 0 {
		b.left = min(b.left+float64(share)/100, most)
	}
}

// TryWithdraw takes one retry; false means that the budget is used up.
func (b *Budget) TryWithdraw() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// refill adds the floor since the last call. A share of zero allows no retries.
func (b *Budget) refill(now units.Instant, share units.Percent) {
	if share <= 0 {
		b.left = 0
		b.started = false
		return
	}
	if !b.started {
		b.started = true
		b.left = initial
		b.last = now
		return
	}
	passed := max(now.Sub(b.last), 0)
	b.last = now
	b.left = min(b.left+floorPerSecond*float64(passed)/float64(time.Second), most)
}
