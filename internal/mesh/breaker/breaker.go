// Package breaker is a circuit breaker: it decides from how a target's last requests
// ended whether the target may get the next one.
//
// # Usage
//
//	if b.Allow(now, idempotent) == breaker.Refuse { ... }
//	b.Record(now, breaker.Served)
//
// A missing or malformed answer opens the breaker, and so do several failures in a row.
// An open breaker admits one idempotent request at a time as a probe, with pauses that
// double after each failed probe, and closes after enough probes were served in a row.
// Requests that must not run twice are refused until it is closed, since a target that
// fails in bursts passes its health checks in between.
package breaker

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Outcome is how a request ended at the target.
type Outcome string

// The outcomes.
const (
	// Served is a complete answer that reports no failure of the target itself.
	Served Outcome = "served"
	// Failed is a complete answer that reports a failure.
	Failed Outcome = "failed"
	// Broken is a missing or truncated answer, or one that is not valid HTTP.
	Broken Outcome = "broken"
)

// Decision says how a breaker treats one request.
type Decision string

// The decisions.
const (
	Admit  Decision = "admit"
	Probe  Decision = "probe"
	Refuse Decision = "refuse"
)

const (
	// initialPause is the time from the failure that opens the breaker to the first probe:
	// about the duration of one request.
	initialPause = 150 * time.Millisecond
	// maxPause bounds the doubling, since bursts of failures last a few seconds.
	maxPause = 1200 * time.Millisecond
	// probesToClose is how many probes in a row must be served to close the breaker.
	probesToClose = 2
	// failuresToOpen is how many failed answers in a row open the breaker; a single one
	// is an ordinary error of the application.
	failuresToOpen = 2
)

// Breaker is the circuit breaker of one target. The zero value is closed. The caller
// holds a lock around every call.
type Breaker struct {
	open      bool
	pause     time.Duration
	nextProbe units.Instant
	probing   bool
	successes int
	failures  int
}

// Open reports whether the breaker is not closed.
func (b *Breaker) Open() bool { return b.open }

// ProbeIn returns the time until the next probe may begin, or zero. While a probe runs,
// the time is an estimate.
func (b *Breaker) ProbeIn(now units.Instant) time.Duration {
	if b.probing {
		return initialPause
	}
	return max(b.nextProbe.Sub(now), 0)
}

// Allow decides on one request. After Probe the caller must call Record or CancelProbe.
func (b *Breaker) Allow(now units.Instant, idempotent bool) Decision {
	if !b.open {
		return Admit
	}
	if !idempotent || b.probing || now.Before(b.nextProbe) {
		return Refuse
	}
	b.probing = true
	return Probe
}

// CancelProbe ends a probe that was not sent or whose end says nothing about the target.
func (b *Breaker) CancelProbe() { b.probing = false }

// Record updates the breaker from how a request ended at now.
func (b *Breaker) Record(now units.Instant, o Outcome) {
	probe := b.probing
	b.probing = false
	switch o {
	case Served:
		b.failures = 0
		b.recordServed(probe)
	case Failed:
		b.failures++
		if b.failures >= failuresToOpen {
			b.recordFailure(now)
		}
	case Broken:
		b.recordFailure(now)
	}
}

func (b *Breaker) recordServed(probe bool) {
	if !b.open || !probe {
		return
	}
	b.successes++
	b.nextProbe = 0
	if b.successes >= probesToClose {
		*b = Breaker{}
	}
}

func (b *Breaker) recordFailure(now units.Instant) {
	b.successes = 0
	if !b.open {
		b.open = true
		b.pause = initialPause
	} else if !now.Before(b.nextProbe) {
		b.pause = min(2*b.pause, maxPause)
	}
	b.nextProbe = now.Add(b.pause)
}
