// Package choice picks the target for a request among those of a service.
//
// # Usage
//
//	i := choice.Pick(candidates, rand.Float64)
//
// Targets in the own data centre go first; others cost as much as a few more waiting
// requests, so that a full or failing data centre spills over.
package balancer

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Candidate is what is known of one target.
type Candidate struct {
	// Local targets belong to this VM.
	Local bool
	// SameCentre targets are in the own data centre.
	SameCentre bool
	// Size is the usual size of the request and its answer.
	Size  units.Bytes
	Slots units.Slots
	// InFlight is the estimate of requests that run or wait there.
	InFlight float64
	// Warmup is how much longer the target is slow after its start.
	Warmup time.Duration
	// BreakerOpen targets have an open breaker, as far as is known.
	BreakerOpen bool
	// Probe targets have an open breaker and may get this request as a trial.
	Probe bool
	// Suspected targets did not answer lately.
	Suspected bool
	// Tried targets refused this request or failed it.
	Tried bool
	// IgnoreBreaker is set for a request that targets get although their breaker is open.
	IgnoreBreaker bool
}

const (
	// otherCentreCost and farCostPerKB are what a request to another data centre costs, in
	// targets' full loads: its delay, and its bytes, which are priced.
	otherCentreCost      = 0.3
	otherCentreCostPerKB = 0.25
	// warmupCost is for targets that just started, which take about twice as long.
	warmupCost = 0.7
	// breakerOpenCost puts targets with an open breaker behind any that is merely full.
	breakerOpenCost = 20
	// probeBonus makes a request that may be a trial go to a near target that is due for one:
	// breakers limit their trials, and one that recovered unseen is missed by the others.
	probeBonus = 2
	// otherCentreProbeCost is for targets of other data centres, whose daemons make trials too.
	otherCentreProbeCost = 0.2
	// suspectedCost puts targets that can't be reached last.
	suspectedCost = 50
	// jitter keeps daemons that know the same from picking the same.
	jitter = 0.25
	// localBonus is what the hop to another VM costs.
	localBonus = 0.1
)

// Cost returns how unwelcome a request to the candidate is.
func Cost(c Candidate) float64 {
	cost := (c.InFlight + 1) / float64(max(c.Slots, 1))
	if !c.SameCentre {
		cost += otherCentreCost + otherCentreCostPerKB*float64(c.Size)/1024
	}
	if c.Local {
		cost -= localBonus
	}
	if c.Warmup > 0 {
		cost += warmupCost
	}
	switch {
	case c.Probe && c.SameCentre:
		cost -= probeBonus
	case c.Probe:
		cost += otherCentreProbeCost
	case c.BreakerOpen:
		cost += breakerOpenCost
	}
	if c.Suspected {
		cost += suspectedCost
	}
	return cost
}

// Pick returns the index of the candidate with the lowest cost that was not tried and may
// get the request, or -1. random returns numbers from 0 to 1.
func Pick(list []Candidate, random func() float64) int {
	best, least := -1, 0.0
	for i, c := range list {
		if c.Tried || (c.BreakerOpen && !c.Probe && !c.IgnoreBreaker) {
			continue
		}
		cost := Cost(c) + jitter*random()
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}
