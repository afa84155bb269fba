// Package retrylimiter bounds the retries that one gatekeeper admits, so that the retries
// of all gatekeepers of a service together stay within the retry budget of the service.
//
// # Usage
//
//	l := retrylimiter.Limiter{Window: 10 * time.Second, Ratio: 0.2, Extra: 64, StartedAt: now}
//	l.CountRequest(now)
//	if l.Acquire(now, gatekeepers) { ... } // the retry is admitted
//
// Each gatekeeper admits retries in proportion to the requests that reached its target as
// their first one, and an equal part of the extra retries. The sum over the gatekeepers
// keeps the bound without any message, and a request may be retried at any of them.
package retrylimiter

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// bucketCount is the number of buckets that the window is divided into. One more is
// retained, because a window that begins within a bucket reaches into it.
const bucketCount = 10

const (
	// margin is the fraction of the bound that is used. The rest is for retries whose
	// number is only estimated, and for gatekeepers that don't know of each other yet.
	margin = 0.8
	// restartShare is the fraction of the extra retries that becomes available over the first
	// window. The rest does so at its end, because an earlier process of the daemon may have used
	// its own before. With it, all processes of a daemon keep to the bound: margin leaves as much.
	restartShare = 1/margin - 1
)

// bucket counts the requests and retries in one part of the window.
type bucket struct {
	number   int64
	requests float64
	retries  float64
}

// Limiter counts the requests and retries of one service at one gatekeeper. The zero value
// admits no retries. The caller holds a lock around every call.
type Limiter struct {
	Window time.Duration
	// Ratio is how many retries are allowed for each request.
	Ratio float64
	// Extra is how many retries all gatekeepers together may admit beyond Ratio.
	Extra float64
	// StartedAt is when the limiter began to count.
	StartedAt units.Instant

	buckets [bucketCount + 1]bucket
}

// CountRequest counts one request that is no retry.
func (l *Limiter) CountRequest(now units.Instant) { l.bucketAt(now).requests++ }

// CountRetries counts retries that were not acquired, such as estimated ones.
func (l *Limiter) CountRetries(now units.Instant, retries float64) {
	l.bucketAt(now).retries += retries
}

// Acquire counts one retry and returns true, or returns false if none is left. The extra
// retries are shared equally among the given number of gatekeepers, this one included.
func (l *Limiter) Acquire(now units.Instant, gatekeepers int) bool {
	if l.Remaining(now, gatekeepers) < 1 {
		return false
	}
	l.bucketAt(now).retries++
	return true
}

// Refund returns a retry that was acquired and not used.
func (l *Limiter) Refund(now units.Instant) { l.bucketAt(now).retries-- }

// Remaining returns how many retries are left in the window that ends now. It is negative
// when more were counted than allowed.
func (l *Limiter) Remaining(now units.Instant, gatekeepers int) float64 {
	if l.Window <= 0 {
		return 0
	}
	current := l.bucketNumber(now)
	requests, retries := 0.0, 0.0
	for _, b := range l.buckets {
		if current-b.number < bucketCount {
			requests += b.requests
		}
		if current-b.number <= bucketCount {
			retries += b.retries
		}
	}
	extra := l.Extra / float64(max(gatekeepers, 1)) * l.extraShare(now)
	return margin*(l.Ratio*requests+extra) - retries
}

// extraShare returns the fraction of the extra retries that is available by now.
func (l *Limiter) extraShare(now units.Instant) float64 {
	age := now.Sub(l.StartedAt)
	if age >= l.Window {
		return 1
	}
	return restartShare * float64(age) / float64(l.Window)
}

func (l *Limiter) bucketNumber(now units.Instant) int64 {
	return int64(now)/int64(max(l.Window/bucketCount, 1)) + bucketCount + 1
}

func (l *Limiter) bucketAt(now units.Instant) *bucket {
	n := l.bucketNumber(now)
	b := &l.buckets[n%int64(len(l.buckets))]
	if b.number != n {
		*b = bucket{number: n}
	}
	return b
}
