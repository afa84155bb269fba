// Package invariant checks at run time conditions that must always hold.
//
// # Usage
//
//	inv.Check(floor.Holds(), "ejection below floor", zap.String("service", string(id)))
//
// A failed check is counted and logged as a numbered event. Tests set Strict, which
// makes a failed check panic, so that the run stops at the first failure.
package invariant

import (
	"sync/atomic"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
)

// Invariant counts checks and failures. The zero value is ready for use.
type Invariant struct {
	// Log receives failed checks. When it is nil, they are counted but not logged.
	Log *zap.Logger
	// Strict makes a failed check panic.
	Strict bool

	checks   atomic.Int64
	failures atomic.Int64
}

// Check records one evaluation of the named invariant. A failed one is logged with
// the given fields. On a nil Invariant it does nothing.
func (i *Invariant) Check(holds bool, name string, fields ...zap.Field) {
	if i == nil {
		return
	}
	i.checks.Add(1)
	if holds {
		return
	}
	i.failures.Add(1)
	if i.Log != nil {
		fields = append(fields, event.InvariantViolated.Field(), zap.String("invariant", name))
		i.Log.Error(event.InvariantViolated.Text(), fields...)
	}
	if i.Strict {
		panic("invariant broken: " + name)
	}
}

// Checks returns the number of evaluations.
func (i *Invariant) Checks() int64 { return i.checks.Load() }

// Broken returns the number of failed evaluations.
func (i *Invariant) Broken() int64 { return i.failures.Load() }
