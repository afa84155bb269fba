// Package contrast tests whether the difference between a target and its siblings is
// statistically significant, so that a difference between few outcomes doesn't count.
//
// # Usage
//
//	if contrast.Errors(own, siblings) >= contrast.Threshold { ... }
//
// The result is a generalized log likelihood ratio: two different rates against one
// common rate for the target and its siblings.
package contrast

import (
	"math"

	"balsamwharf.example/balsamwharf/internal/sibling"
)

// Threshold is the ratio from which a difference is significant. Chance alone exceeds
// it about once in 100,000 comparisons.
const Threshold = 10.0

// RouteThreshold is the same for one route of many. It is higher because each route
// is one more comparison that can be significant by chance.
const RouteThreshold = 16.0

// Errors returns the log likelihood ratio for the shares of bad outcomes. It is zero
// when the target's share is not higher than its siblings'.
func Errors(own, siblings sibling.Summary) float64 {
	if own.BadShare() <= siblings.BadShare() {
		return 0
	}
	return negLogLikelihood(own.Add(siblings)) - negLogLikelihood(own) - negLogLikelihood(siblings)
}

// negLogLikelihood returns the negative log likelihood of the outcomes at their own
// share of bad ones.
func negLogLikelihood(s sibling.Summary) float64 {
	return -logLikelihood(s.Bad, s.BadShare()) - logLikelihood(s.Good, 1-s.BadShare())
}

// logLikelihood returns the log likelihood of n outcomes of probability share each.
func logLikelihood(n int, share float64) float64 {
	if n == 0 {
		return 0
	}
	return float64(n) * math.Log(share)
}

// Latency returns the log likelihood ratio for the means of the logarithm of the
// latency. It is zero when the target is not slower than its siblings, or when the
// latency of either is not known.
func Latency(own, siblings sibling.Summary) float64 {
	if own.Timed == 0 || siblings.Timed == 0 || own.MeanLog() <= siblings.MeanLog() {
		return 0
	}
	spread := max(own.Spread(), siblings.Spread())
	variance := spread * spread * (1/float64(own.Timed) + 1/float64(siblings.Timed))
	difference := own.MeanLog() - siblings.MeanLog()
	return difference * difference / (2 * variance)
}
