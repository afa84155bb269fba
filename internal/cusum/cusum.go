// Package cusum is a sequential test for a change to the worse.
//
// # Usage
//
//	var c cusum.Cusum
//	c.Add(now, x, cusum.Errors(usual, bad))
//	if c.Sum() > cusum.Threshold { ... }
//
// Each outcome adds the logarithm of how much likelier it is at a failing target
// than at a healthy one. The sum never falls below zero, so a long healthy past
// doesn't delay the decision. By Lorden's bound a healthy target passes the
// threshold h at most once in e^h outcomes on average.
package cusum

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// Threshold is the sum at which a target is taken for failing: e^18 outcomes
	// are 88 days of one target at 9 requests a second.
	Threshold = 18.0
	// MaxStep bounds what one outcome adds, so that five outcomes decide at the
	// earliest.
	MaxStep = 4.2
	// minBadShare is the least share of bad outcomes that counts as usual.
	minBadShare = 0.005
	// addedBadShare is the part of the good outcomes that a failing target turns bad.
	addedBadShare = 0.3
)

// logSlowdown is the logarithm of the least factor by which a slow target is logSlowdown.
var logSlowdown = math.Log(2.5)

// Cusum is the state of one test. The zero value has seen nothing.
type Cusum struct {
	sum      float64
	since    units.Instant
	outcomes sibling.Summary
}

// Sum returns the statistic.
func (c *Cusum) Sum() float64 { return c.sum }

// Since returns when the sum last rose from zero: the likely time of the change.
func (c *Cusum) Since() units.Instant { return c.since }

// Reset forgets the evidence.
func (c *Cusum) Reset() { *c = Cusum{} }

// Outcomes summarises the outcomes since the sum last rose from zero.
func (c *Cusum) Outcomes() sibling.Summary { return c.outcomes }

// Add takes in one outcome with its log likelihood ratio.
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

func badShares(u sibling.Baseline) (healthy, failing float64) {
	healthy = min(max(u.BadShare, minBadShare), 1-minBadShare)
	return healthy, healthy + addedBadShare*(1-healthy)
}

// ErrorRatio returns the log likelihood ratio of one good or bad outcome.
func ErrorRatio(u sibling.Baseline, bad bool) float64 {
	healthy, failing := badShares(u)
	if bad {
		return min(math.Log(failing/healthy), MaxStep)
	}
	return math.Log((1 - failing) / (1 - healthy))
}

// LatencyRatio returns the log likelihood ratio of the latency of one good answer. It
// is zero while the siblings' latency is not known.
func LatencyRatio(u sibling.Baseline, took time.Duration) float64 {
	if !u.Timed {
		return 0
	}
	return clampStep(logSlowdown / (u.Spread * u.Spread) * (math.Log(took.Seconds()) - u.MeanLog - logSlowdown/2))
}

func clampStep(ratio float64) float64 { return max(min(ratio, MaxStep), -MaxStep) }

// ErrorRatioOf returns the log likelihood ratio of a whole summary.
func ErrorRatioOf(u sibling.Baseline, s sibling.Summary) float64 {
	return float64(s.Bad)*ErrorRatio(u, true) + float64(s.Good)*ErrorRatio(u, false)
}

// LatencyRatioOf returns the log likelihood ratio of all latencies of a summary.
func LatencyRatioOf(u sibling.Baseline, s sibling.Summary) float64 {
	if !u.Timed {
		return 0
	}
	return logSlowdown / (u.Spread * u.Spread) * (s.Logs - float64(s.Timed)*(u.MeanLog+logSlowdown/2))
}
