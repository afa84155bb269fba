// Package sight keeps what a daemon knows of the targets behind other gatekeepers:
// from what came back with earlier requests, and from what the gatekeepers of the own
// data centre tell unasked.
//
// # Usage
//
//	s.Begin(address)
//	s.Note(address, load, now)
//	view := s.View(address, slots, now)
package loadview

import (
	"context"
	"math"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// decayTime is how fast an old load report fades; requests take about as long.
	decayTime = 700 * time.Millisecond
	// defaultLoad is the assumed load of a target, as a share of its slots, when nothing
	// is known of it.
	defaultLoad = 0.5
	// breakerOpenTTL is how long a report of an open breaker counts when nothing is told
	// unasked; breakers stay open for seconds.
	breakerOpenTTL = 3 * time.Second
	// noTargetTTL is how long a gatekeeper without a target of the service is avoided.
	noTargetTTL = 700 * time.Millisecond
	// ReportTTL is how long a report that came unasked is taken as current.
	ReportTTL = 1500 * time.Millisecond
)

// Table is what is known of all targets. The zero value knows nothing.
type Table struct {
	mu      sync.Mutex
	entries map[ids.Address]*entry
}

type entry struct {
	load       request.Load
	receivedAt units.Instant
	known      bool
	// sentSince counts the requests of this daemon since the report.
	sentSince     int
	noTargetUntil units.Instant
	// reportedAt is when the gatekeeper last reportedAt its load unasked.
	reportedAt units.Instant
	reporting  bool
}

// View is what is known of one target.
type View struct {
	// InFlight estimates the requests that run or wait.
	InFlight float64
	// RetriesLeft is how many repeats the gatekeeper lets through.
	RetriesLeft int
	BreakerOpen bool
	// Probe is set when an open breaker may let a trial through.
	Probe    bool
	NoTarget bool
	// Stale is set when a gatekeeper that tells its load has stopped to do so.
	Stale bool
}

// Name implements service.Service.
func (s *Table) Name() service.Name { return "loadview" }

// Needs implements service.Service.
func (s *Table) Needs() []service.Name { return nil }

// Start implements service.Service.
func (s *Table) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (s *Table) Stop(context.Context) error { return nil }

func (s *Table) get(a ids.Address) *entry {
	if s.entries == nil {
		s.entries = map[ids.Address]*entry{}
	}
	v, ok := s.entries[a]
	if !ok {
		v = &entry{}
		s.entries[a] = v
	}
	return v
}

// CountRequest counts a request of this daemon's own at the target.
func (s *Table) CountRequest(a ids.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(a).sentSince++
}

// RecordAnswer takes a load report that came with an answer.
func (s *Table) RecordAnswer(a ids.Address, l request.Load, now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(a).update(l, now)
}

// RecordReport takes a load report that came unasked.
func (s *Table) RecordReport(a ids.Address, l request.Load, now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(a)
	v.update(l, now)
	v.reportedAt, v.reporting = now, true
}

func (v *entry) update(l request.Load, now units.Instant) {
	v.load, v.receivedAt, v.known, v.sentSince = l, now, true, 0
}

// RecordNoTarget notes that the gatekeeper had no target of the service.
func (s *Table) RecordNoTarget(a ids.Address, now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(a).noTargetUntil = now.Add(noTargetTTL)
}

// View returns what is known of the target.
func (s *Table) View(a ids.Address, slots units.Slots, now units.Instant) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(a)
	age := now.Sub(v.receivedAt)
	shut := v.known && v.load.BreakerOpen && (age < breakerOpenTTL || v.fresh(now))
	return View{
		InFlight: v.inFlight(slots, now), RetriesLeft: v.load.RetriesLeft, BreakerOpen: shut, Probe: shut && age >= v.load.ProbeIn,
		NoTarget: now.Before(v.noTargetUntil), Stale: v.reporting && !v.fresh(now),
	}
}

func (v *entry) fresh(now units.Instant) bool {
	return v.reporting && now.Sub(v.reportedAt) < ReportTTL
}

func (v *entry) inFlight(slots units.Slots, now units.Instant) float64 {
	usual := defaultLoad * float64(slots)
	if !v.known {
		return math.Max(usual, float64(v.sentSince))
	}
	told := float64(v.load.Running + v.load.Waiting)
	if v.fresh(now) {
		return told + float64(v.sentSince)
	}
	weight := math.Exp(-float64(now.Sub(v.receivedAt)) / float64(decayTime))
	return weight*(told+float64(v.sentSince)) + (1-weight)*usual
}
