// Package cusum is a one-sided CUSUM test (cumulative sum) for a change to the worse.
//
// # Usage
//
//	var c cusum.Cusum
//	c.Add(now, x, cusum.ErrorRatio(baseline, bad))
//	if c.Sum() >= cusum.Threshold { ... }
//
// Each outcome adds its log likelihood ratio: the logarithm of how much more likely
// it is at a failing target than at a healthy one. The sum never falls below zero,
// so a long healthy past doesn't delay detection. By Lorden's bound a healthy target
// exceeds the threshold h at most once in e^h outcomes on average.
package cusum

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// Threshold is the sum from which a target is suspected: e^18 outcomes take one
	// target 88 days at 9 requests per second.
	Threshold = 18.0
	// MaxStep bounds what one outcome adds, so that a decision takes at least five
	// outcomes.
	MaxStep = 4.2
	// minBadShare is the least baseline share of bad outcomes.
	minBadShare = 0.005
	// addedBadShare is the share of the baseline's good outcomes that are bad at a
	// failing target.
	addedBadShare = 0.3
)

// logSlowdown is the logarithm of the least factor by which a slow target is assumed
// to be slower.
var logSlowdown = math.Log(2.5)

// Cusum is the state of one test. The zero value has no outcomes. It is not safe for
// concurrent use.
type Cusum struct {
	sum      float64
	since    units.Instant
	outcomes sibling.Summary
}

// Sum returns the test statistic.
func (c *Cusum) Sum() float64 { return c.sum }

// Since returns when the sum last rose from zero: the estimated time of the change.
func (c *Cusum) Since() units.Instant { return c.since }

// Reset sets the sum to zero and drops the outcomes.
func (c *Cusum) Reset() { *c = Cusum{} }

// Outcomes returns the outcomes since the sum last rose from zero.
func (c *Cusum) Outcomes() sibling.Summary { return c.outcomes }

// Add adds one outcome with its log likelihood ratio.
func (c *Cusum) Add(now units.Instant, x sample.Sample, ratio float64) {
	if c.sum+ratio <= 0 {
		c.Reset()
		return
	}
	if c.sum == 0 {
		c.since = now
	}
	c.sum += ratio
	c.outcomes.Record(x)
}

// badShares returns the share of bad outcomes at a healthy and at a failing target.
func badShares(b sibling.Baseline) (healthy, failing float64) {
	healthy = min(max(b.BadShare, minBadShare), 1-minBadShare)
	return healthy, healthy + addedBadShare*(1-healthy)
}

// ErrorRatio returns the log likelihood ratio of one good or bad outcome, at most
// MaxStep.
func ErrorRatio(b sibling.Baseline, bad bool) float64 {
	healthy, failing := badShares(b)
	if bad {
		return min(math.Log(failing/healthy), MaxStep)
	}
	return math.Log((1 - failing) / (1 - healthy))
}

// LatencyRatio returns the log likelihood ratio of the latency of one good outcome,
// limited to MaxStep either way. The logarithm of the latency is taken as normally
// distributed. It is zero while the siblings' latency is not known.
func LatencyRatio(b sibling.Baseline, took time.Duration) float64 {
	if !b.Timed {
		return 0
	}
	return clampStep(logSlowdown / (b.Spread * b.Spread) * (math.Log(took.Seconds()) - b.MeanLog - logSlowdown/2))
}

// clampStep limits a log likelihood ratio to MaxStep either way.
func clampStep(ratio float64) float64 { return max(min(ratio, MaxStep), -MaxStep) }

// ErrorRatioOf returns the log likelihood ratio of all outcomes of a summary.
func ErrorRatioOf(b sibling.Baseline, s sibling.Summary) float64 {
	return float64(s.Bad)*ErrorRatio(b, true) + float64(s.Good)*ErrorRatio(b, false)
}

// LatencyRatioOf returns the log likelihood ratio of all latencies of a summary,
// without the limit per outcome.
func LatencyRatioOf(b sibling.Baseline, s sibling.Summary) float64 {
	if !b.Timed {
		return 0
	}
	return logSlowdown / (b.Spread * b.Spread) * (s.Logs - float64(s.Timed)*(b.MeanLog+logSlowdown/2))
}
