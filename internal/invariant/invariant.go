// Package invariant asserts inside the program what must always hold.
//
// # Usage
//
//	inv.Check(floor.Holds(), "ejection below floor", zap.String("service", string(id)))
//
// A failed check is counted and logged as a numbered event. In tests Strict is
// set and a failed check panics, so that the run stops at the first one.
package invariant

import (
	"sync/atomic"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
)

// Invariant counts checks and failures. The zero value works.
type Invariant struct {
	// Log receives failures; nil drops them.
	Log *zap.Logger
	// Strict makes a failed check panic.
	Strict bool

	checks   atomic.Int64
	failures atomic.Int64
}

// Check records one evaluation of an invariant.
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
		fields = append(fields, event.InvariantBroke.Field(), zap.String("invariant", name))
		i.Log.Error(event.InvariantBroke.Text(), fields...)
	}
	if i.Strict {
		panic("invariant broken: " + name)
	}
}

// Checks returns how many evaluations were made.
func (i *Invariant) Checks() int64 { return i.checks.Load() }

// Broken returns how many evaluations failed.
func (i *Invariant) Broken() int64 { return i.failures.Load() }
