// Package common holds the dependencies that all services of a daemon share:
// logger, settings, clock, metrics and invariants.
//
// # Usage
//
//	type Tail struct {
//		Common *common.Common
//	}
package common

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/timer"
)

// Common holds the dependencies shared by the services of one daemon.
type Common struct {
	Log      *zap.Logger
	Settings settings.Daemon
	// Mesh holds the settings of a daemon on a platform.
	Mesh      settings.Mesh
	Clock     *timer.Timer
	Metrics   metrics.Registry
	Invariant *invariant.Invariant
}

// Info logs an event of normal operation at level info.
func (c *Common) Info(e event.Event, fields ...zap.Field) {
	c.Log.Info(e.Text(), append(fields, e.Field(), zap.String("name", e.Name()))...)
}

// Warn logs an event that may need an operator's action.
func (c *Common) Warn(e event.Event, fields ...zap.Field) {
	c.Log.Warn(e.Text(), append(fields, e.Field(), zap.String("name", e.Name()))...)
}

// Debug logs an event that is useful only for fault tracing.
func (c *Common) Debug(e event.Event, fields ...zap.Field) {
	c.Log.Debug(e.Text(), append(fields, e.Field(), zap.String("name", e.Name()))...)
}

// Discard returns a Common for tests and tools. It logs nothing and panics when
// an invariant is violated.
func Discard() *Common {
	return &Common{
		Log:       zap.NewNop(),
		Clock:     &timer.Timer{},
		Metrics:   metrics.NewRegistry(),
		Invariant: &invariant.Invariant{Strict: true},
	}
}

// Cause returns a log field with the error's message, without the stack trace that
// errorx stores. It returns a field that is skipped when err is nil.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
