// Package allowance bounds the repeats that one gatekeeper lets through, so that the
// repeats of all gatekeepers of a service together stay within the fleet's bound.
//
// # Usage
//
//	a := allowance.Allowance{Window: 10 * time.Second, Ratio: 0.2, Extra: 64, Began: now}
//	a.Request(now)
//	if a.Spend(now, gatekeepers) { let it through }
//
// Each gatekeeper lets through a share of the requests that reached its target first,
// and an equal part of the extra repeats. The sum over the gatekeepers keeps the bound
// without any message, and a request that needs a repeat may get it at any of them.
package retrylimiter

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// bucketCount is into how many parts the window is divided. One more is kept, because a window
// that begins within a part reaches into it.
const bucketCount = 10

const (
	// margin keeps back a part of the bound for repeats that are only estimated, and for
	// gatekeepers that don't know of each other yet.
	margin = 0.8
	// initialShare is the part of the extra repeats that a gatekeeper has at once; the rest
	// comes over a window, because an earlier process may have spent its own.
	initialShare = 0.5
)

// bucket counts what happened in one part of the window.
type bucket struct {
	number   int64
	requests float64
	retries  float64
}

// Limiter counts the requests and repeats of one service. The zero value allows
// no repeats. The caller holds a lock around every call.
type Limiter struct {
	Window time.Duration
	Ratio  float64
	Extra  float64
	// StartedAt is when counting began.
	StartedAt units.Instant

	buckets [bucketCount + 1]bucket
}

// CountRequest counts one request.
func (a *Limiter) CountRequest(now units.Instant) { a.bucketAt(now).requests++ }

// CountRetries counts repeats that were not asked for.
func (a *Limiter) CountRetries(now units.Instant, repeats float64) {
	a.bucketAt(now).retries += repeats
}

// Acquire takes one repeat, or reports that there is none left. The extra repeats are
// shared with the other gatekeepers.
func (a *Limiter) Acquire(now units.Instant, gatekeepers int) bool {
	if a.Remaining(now, gatekeepers) < 1 {
		return false
	}
	a.bucketAt(now).retries++
	return true
}

// Refund gives back a repeat that was taken and not used.
func (a *Limiter) Refund(now units.Instant) { a.bucketAt(now).retries-- }

// Remaining returns how many repeats remain in the window that ends now.
func (a *Limiter) Remaining(now units.Instant, gatekeepers int) float64 {
	if a.Window <= 0 {
		return 0
	}
	current := a.bucketNumber(now)
	requests, repeats := 0.0, 0.0
	for _, c := range a.buckets {
		if current-c.number < bucketCount {
			requests += c.requests
		}
		if current-c.number <= bucketCount {
			repeats += c.retries
		}
	}
	extra := a.Extra / float64(max(gatekeepers, 1)) * a.extraShare(now)
	return margin*(a.Ratio*requests+extra) - repeats
}

// extraShare returns which part of the extra repeats is there.
func (a *Limiter) extraShare(now units.Instant) float64 {
	return min(initialShare+(1-initialShare)*float64(now.Sub(a.StartedAt))/float64(a.Window), 1)
}

func (a *Limiter) bucketNumber(now units.Instant) int64 {
	return int64(now)/int64(max(a.Window/bucketCount, 1)) + bucketCount + 1
}

func (a *Limiter) bucketAt(now units.Instant) *bucket {
	n := a.bucketNumber(now)
	c := &a.buckets[n%int64(len(a.buckets))]
	if c.number != n {
		*c = bucket{number: n}
	}
	return c
}
