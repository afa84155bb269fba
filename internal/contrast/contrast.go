// Package contrast tells whether a target really differs from its siblings, or
// whether both just had few outcomes.
//
// # Usage
//
//	if contrast.Errors(own, siblings) >= contrast.Clear { ... }
//
// The result is a log likelihood ratio: two different rates against one common
// rate for the target and its siblings.
package contrast

import (
	"math"

	"balsamwharf.example/balsamwharf/internal/sibling"
)

// Threshold is the ratio at which a difference is taken as real. Chance alone exceeds
// it about once in 100,000 comparisons.
const Threshold = 10.0

// RouteThreshold is the same for one route of many. It is higher because every route
// is one more chance to err.
const RouteThreshold = 16.0

// Errors compares the shares of bad outcomes. It is zero when the target's share
// is the lower one.
func Errors(own, siblings sibling.Summary) float64 {
	if own.BadShare() <= siblings.BadShare() {
		return 0
	}
	return negLogLikelihood(own.Add(siblings)) - negLogLikelihood(own) - negLogLikelihood(siblings)
}

// negLogLikelihood is the negative log likelihood of the outcomes at their own share.
func negLogLikelihood(s sibling.Summary) float64 {
	return -logLikelihood(s.Bad, s.BadShare()) - logLikelihood(s.Good, 1-s.BadShare())
}

func logLikelihood(n int, share float64) float64 {
	if n == 0 {
		return 0
	}
	return float64(n) * math.Log(share)
}

// Latency compares the means of the logarithm of the latency. It is zero when the
// target is the faster one or one of both has no latency.
func Latency(own, siblings sibling.Summary) float64 {
	if own.Timed == 0 || siblings.Timed == 0 || own.MeanLog() <= siblings.MeanLog() {
		return 0
	}
	spread := max(own.Spread(), siblings.Spread())
	variance := spread * spread * (1/float64(own.Timed) + 1/float64(siblings.Timed))
	apart := own.MeanLog() - siblings.MeanLog()
	return apart * apart / (2 * variance)
}
