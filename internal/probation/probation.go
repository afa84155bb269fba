// Package probation decides how long a target stays ejected and when it is
// readmitted.
//
// # Usage
//
//	var p probation.Probation
//	p.Eject(now)
//	if p.CheckDue(now) { p.BeginProbing(now) } // after a health check that was answered
//	if p.RecordGood(now) { readmit() }
//
// The ejection time doubles with each ejection, up to a bound, and halves with time
// in service, so that a flapping target is ejected for longer and longer.
package probation

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	minEjectionTime = 5 * time.Second
	maxEjectionTime = 5 * time.Minute
	// halvingPeriod is the time in service that halves the next ejection time.
	halvingPeriod = time.Minute
	// requiredGood is the number of good probe requests in a row that readmit a
	// half-open target.
	requiredGood = 5
)

// Stage is the stage of a target between ejection and readmission.
type Stage string

// The stages.
const (
	// InService targets get requests without limit. It is the zero value.
	InService Stage = ""
	// Ejected targets get no request.
	Ejected Stage = "out"
	// HalfOpen targets get a few idempotent probe requests.
	HalfOpen Stage = "trial"
)

// Probation is the state of one target. The zero value is in service. It is not safe
// for concurrent use.
type Probation struct {
	stage        Stage
	ejectionTime time.Duration
	// changedAt is when the stage was last entered.
	changedAt  units.Instant
	goodInARow int
}

// Stage returns the present stage.
func (p *Probation) Stage() Stage { return p.stage }

// EjectionTime returns the time from the last ejection to the health check.
func (p *Probation) EjectionTime() time.Duration { return p.ejectionTime }

// Eject ejects the target for twice the last ejection time, halved once for each
// halvingPeriod that it was in service since.
func (p *Probation) Eject(now units.Instant) {
	if p.stage == InService {
		for good := now.Sub(p.changedAt); good >= halvingPeriod && p.ejectionTime > 0; good -= halvingPeriod {
			p.ejectionTime /= 2
		}
	}
	p.ejectionTime = min(max(p.ejectionTime*2, minEjectionTime), maxEjectionTime)
	p.change(now, Ejected)
}

// CheckDue reports whether the ejection time is over, so that a health check is due.
func (p *Probation) CheckDue(now units.Instant) bool {
	return p.stage == Ejected && now.Sub(p.changedAt) >= p.ejectionTime
}

// BeginProbing makes an ejected target half-open.
func (p *Probation) BeginProbing(now units.Instant) {
	if p.stage == Ejected {
		p.change(now, HalfOpen)
	}
}

// RecordGood counts a good answer to a probe request. It reports whether the target
// is readmitted.
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

// RecordBad ejects a half-open target again, for twice as long.
func (p *Probation) RecordBad(now units.Instant) {
	if p.stage == HalfOpen {
		p.Eject(now)
	}
}

// Readmit returns the target to service from any stage.
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
