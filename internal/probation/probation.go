// Package probation decides how long an ejected target stays out and when it has
// earned its way back.
//
// # Usage
//
//	var p probation.Probation
//	p.Eject(now)
//	if p.Due(now) { p.Try(now) } // after a probe that was answered
//	if p.Good(now) { readmit() }
//
// The time out doubles with each relapse up to a bound and halves with time in good
// service, so a flapping target is out for longer and longer.
package probation

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	shortest = 5 * time.Second
	longest  = 5 * time.Minute
	// forgive is the time in good service that halves the next time out.
	forgive = time.Minute
	// needed is the number of good answers in a row that ends a trial.
	needed = 5
)

// Stage is where a target stands.
type Stage string

// The stages.
const (
	// In is full service; the zero value counts as In.
	In Stage = ""
	// Out gets no request.
	Out Stage = "out"
	// Trial gets a few requests that are safe to repeat.
	Trial Stage = "trial"
)

// Probation is the state of one target. The zero value is in service.
type Probation struct {
	stage Stage
	wait  time.Duration
	// changed is when the stage last changed.
	changed units.Instant
	good    int
}

// Stage returns where the target stands.
func (p *Probation) Stage() Stage { return p.stage }

// Wait returns the present time out.
func (p *Probation) Wait() time.Duration { return p.wait }

// Eject takes the target out, for twice as long as last time less what good
// service has made up for.
func (p *Probation) Eject(now units.Instant) {
	if p.stage == In {
		for good := now.Sub(p.changed); good >= forgive && p.wait > 0; good -= forgive {
			p.wait /= 2
		}
	}
	p.wait = min(max(p.wait*2, shortest), longest)
	p.change(now, Out)
}

// Due reports whether the time out is over.
func (p *Probation) Due(now units.Instant) bool {
	return p.stage == Out && now.Sub(p.changed) >= p.wait
}

// Try begins a trial.
func (p *Probation) Try(now units.Instant) {
	if p.stage == Out {
		p.change(now, Trial)
	}
}

// Good counts a good answer. It reports whether the trial has been passed.
func (p *Probation) Good(now units.Instant) bool {
	if p.stage != Trial {
		return false
	}
	p.good++
	if p.good < needed {
		return false
	}
	p.change(now, In)
	return true
}

// Bad ends a trial as failed: the target is out again for twice as long.
func (p *Probation) Bad(now units.Instant) {
	if p.stage == Trial {
		p.Eject(now)
	}
}

// Readmit puts the target back into service whatever its stage.
func (p *Probation) Readmit(now units.Instant) {
	if p.stage != In {
		p.change(now, In)
	}
}

func (p *Probation) change(now units.Instant, s Stage) {
	p.stage = s
	p.changed = now
	p.good = 0
}
