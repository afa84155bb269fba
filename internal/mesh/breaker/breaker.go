// Package breaker decides whether a target may get a request, from how its last
// requests ended.
//
// # Usage
//
//	if b.Allow(now, idempotent) == breaker.Refuse { ... }
//	b.Note(now, breaker.Served)
//
// A broken answer opens the breaker. An open breaker lets single idempotent requests
// through as trials, with pauses that double, and closes after enough of them were
// served in a row. Requests that must not run twice wait until it is closed, because
// targets that fail in bursts pass their health checks meanwhile.
package breaker

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Outcome is how a request ended at the target.
type Outcome string

// The outcomes.
const (
	// Served is a whole answer other than a failure of the target's own.
	Served Outcome = "served"
	// Failed is a whole answer that tells of a failure.
	Failed Outcome = "failed"
	// Broken is no answer, a cut one, or one that is no HTTP.
	Broken Outcome = "broken"
)

// Decision is what a target may get.
type Decision string

// The decisions.
const (
	Admit  Decision = "admit"
	Probe  Decision = "trial"
	Refuse Decision = "refuse"
)

const (
	// initialPause lies between a failure and the first trial: about one request's time.
	initialPause = 150 * time.Millisecond
	// maxPause bounds the doubling; bursts of failures last some seconds.
	maxPause = 1200 * time.Millisecond
	// probesToClose is how many trials in a row must be served.
	probesToClose = 2
	// failuresToOpen is how many failed answers in a row open the breaker; single
	// ones are ordinary errors of the application.
	failuresToOpen = 2
)

// Breaker is the state of one target. The zero value is closed.
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

// ProbeIn returns when the next trial may begin, at the earliest.
func (b *Breaker) ProbeIn(now units.Instant) time.Duration {
	if b.probing {
		return initialPause
	}
	return max(b.nextProbe.Sub(now), 0)
}

// Allow decides on one request. A Trial must be followed by Note or Skip.
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

// CancelProbe takes a trial back whose request was not sent or told nothing.
func (b *Breaker) CancelProbe() { b.probing = false }

// Record records how a request ended.
func (b *Breaker) Record(now units.Instant, o Outcome) {
	trial := b.probing
	b.probing = false
	switch o {
	case Served:
		b.failures = 0
		b.recordServed(trial)
	case Failed:
		b.failures++
		if b.failures >= failuresToOpen {
			b.recordFailure(now)
		}
	case Broken:
		b.recordFailure(now)
	}
}

func (b *Breaker) recordServed(trial bool) {
	if !b.open || !trial {
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
