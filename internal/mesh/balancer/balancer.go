// Package balancer picks the target for a request among those of a service.
//
// # Usage
//
//	i := balancer.Pick(candidates, rand.Float64)
//
// Targets in the same data centre are preferred. One in another data centre costs as much
// as a few more waiting requests, so that a full or failing data centre spills over.
package balancer

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Candidate is what is known about one target.
type Candidate struct {
	// Local is set for the target of this VM.
	Local bool
	// SameCentre is set for targets in this daemon's data centre.
	SameCentre bool
	// Size is the estimated size of the request and its answer together.
	Size  units.Bytes
	Slots units.Slots
	// InFlight is the estimated number of requests that run or wait at the target.
	InFlight float64
	// WarmUp is how much longer the target is slow after its start, or zero.
	WarmUp time.Duration
	// ColdFull is set when a cold target gets as many requests a second as it bears.
	ColdFull bool
	// BreakerOpen is set when the last load report has an open breaker.
	BreakerOpen bool
	// Probe is set when the breaker is open and may admit this request as a probe.
	Probe bool
	// Suspected is set when the gatekeeper is probably not reachable or has no target.
	Suspected bool
	// Tried is set when the target declined this request or failed it.
	Tried bool
	// IgnoreBreaker is set when the request may go to a target with an open breaker.
	IgnoreBreaker bool
}

const (
	// Costs are in units of a target whose slots are all busy. otherCentreCost stands for
	// the delay to another data centre, and otherCentreCostPerKB for the traffic, which is
	// priced by volume.
	otherCentreCost      = 0.3
	otherCentreCostPerKB = 0.25
	// warmUpCost is for targets that just started: they take about twice as long.
	warmUpCost = 0.7
	// coldFullCost puts targets that bear no more requests at the moment behind any that is full,
	// and before those with an open breaker.
	coldFullCost = 10
	// breakerOpenCost puts targets with an open breaker behind any that is merely full.
	breakerOpenCost = 20
	// probeBonus makes a request that may be a probe go to a target of this data centre
	// that is due for one. Breakers limit their probes, and while a target that has
	// recovered is not probed, the other targets carry its load.
	probeBonus = 2
	// otherCentreProbeCost is for probes of targets in other data centres, which the
	// daemons there probe too.
	otherCentreProbeCost = 0.2
	// suspectedCost puts targets that are probably not reachable last.
	suspectedCost = 50
	// jitter keeps daemons with the same load reports from picking the same target.
	jitter = 0.25
	// localBonus is the cost of the hop to another VM, which a local target saves.
	localBonus = 0.1
)

// Cost returns the cost of sending a request to the candidate; lower is better.
func Cost(c Candidate) float64 {
	cost := (c.InFlight + 1) / float64(max(c.Slots, 1))
	if !c.SameCentre {
		cost += otherCentreCost + otherCentreCostPerKB*float64(c.Size)/1024
	}
	if c.Local {
		cost -= localBonus
	}
	if c.WarmUp > 0 {
		cost += warmUpCost
	}
	if c.ColdFull {
		cost += coldFullCost
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

// Pick returns the index of the candidate with the lowest cost, or -1 if there is none.
// It leaves out those that were tried, and those with an open breaker unless the request
// is a probe or ignores breakers. random returns numbers from 0 to 1.
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
