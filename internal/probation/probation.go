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
	minEjectionTime = 5 * time.Second
	maxEjectionTime = 5 * time.Minute
	// halvingPeriod is the time in good service that halves the next time out.
	halvingPeriod = time.Minute
	// requiredGood is the number of good answers in a row that ends a trial.
	requiredGood = 5
)

// Stage is where a target stands.
type Stage string

// The stages.
const (
	// InService is full service; the zero value counts as InService.
	InService Stage = ""
	// Ejected gets no request.
	Ejected Stage = "out"
	// HalfOpen gets a few requests that are safe to repeat.
	HalfOpen Stage = "trial"
)

// Probation is the state of one target. The zero value is in service.
type Probation struct {
	stage        Stage
	ejectionTime time.Duration
	// changedAt is when the stage last changedAt.
	changedAt  units.Instant
	goodInARow int
}

// Stage returns where the target stands.
func (p *Probation) Stage() Stage { return p.stage }

// EjectionTime returns the present time out.
func (p *Probation) EjectionTime() time.Duration { return p.ejectionTime }

// Eject takes the target out, for twice as long as last time less what good
// service has made up for.
func (p *Probation) Eject(now units.Instant) {
	if p.stage == InService {
		for good := now.Sub(p.changedAt); good >= halvingPeriod && p.ejectionTime > 0; good -= halvingPeriod {
			p.ejectionTime /= 2
		}
	}
	p.ejectionTime = min(max(p.ejectionTime*2, minEjectionTime), maxEjectionTime)
	p.change(now, Ejected)
}

// CheckDue reports whether the time out is over.
func (p *Probation) CheckDue(now units.Instant) bool {
	return p.stage == Ejected && now.Sub(p.changedAt) >= p.ejectionTime
}

// BeginProbing begins a trial.
func (p *Probation) BeginProbing(now units.Instant) {
	if p.stage == Ejected {
		p.change(now, HalfOpen)
	}
}

// RecordGood counts a good answer. It reports whether the trial has been passed.
func (p *Probation) RecordGood(now units.Instant) bool {
	if p.stage != HalfOpen {
		return false
	}
	p.goodInARow++
	if p.goodInARow < requiredGood {
		return false
	}
	p.change(now, InService)
	return true
}

// RecordBad ends a trial as failed: the target is out again for twice as long.
func (p *Probation) RecordBad(now units.Instant) {
	if p.stage == HalfOpen {
		p.Eject(now)
	}
}

// Readmit puts the target back into service whatever its stage.
func (p *Probation) Readmit(now units.Instant) {
	if p.stage != InService {
		p.change(now, InService)
	}
}

func (p *Probation) change(now units.Instant, s Stage) {
	p.stage = s
	p.changedAt = now
	p.goodInARow = 0
}
