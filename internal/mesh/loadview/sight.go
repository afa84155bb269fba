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
	// memory is how fast an old load report fades; requests take about as long.
	memory = 700 * time.Millisecond
	// usualLoad is the assumed load of a target, as a share of its slots, when nothing
	// is known of it.
	usualLoad = 0.5
	// shutMemory is how long a report of an open breaker counts when nothing is told
	// unasked; breakers stay open for seconds.
	shutMemory = 3 * time.Second
	// goneMemory is how long a gatekeeper without a target of the service is avoided.
	goneMemory = 700 * time.Millisecond
	// ReportTTL is how long a report that came unasked is taken as current.
	ReportTTL = 1500 * time.Millisecond
)

// Table is what is known of all targets. The zero value knows nothing.
type Table struct {
	mu   sync.Mutex
	seen map[ids.Address]*seen
}

type seen struct {
	load  request.Load
	at    units.Instant
	known bool
	// begun counts the requests of this daemon since the report.
	begun     int
	goneUntil units.Instant
	// told is when the gatekeeper last told its load unasked.
	told    units.Instant
	telling bool
}

// View is what is known of one target.
type View struct {
	// Busy estimates the requests that run or wait.
	Busy float64
	// Repeats is how many repeats the gatekeeper lets through.
	Repeats int
	Shut    bool
	// Trial is set when an open breaker may let a trial through.
	Trial bool
	Gone  bool
	// Silent is set when a gatekeeper that tells its load has stopped to do so.
	Silent bool
}

// Name implements service.Service.
func (s *Table) Name() service.Name { return "loadview" }

// Needs implements service.Service.
func (s *Table) Needs() []service.Name { return nil }

// Start implements service.Service.
func (s *Table) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (s *Table) Stop(context.Context) error { return nil }

func (s *Table) get(a ids.Address) *seen {
	if s.seen == nil {
		s.seen = map[ids.Address]*seen{}
	}
	v, ok := s.seen[a]
	if !ok {
		v = &seen{}
		s.seen[a] = v
	}
	return v
}

// Begin counts a request of this daemon's own at the target.
func (s *Table) Begin(a ids.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(a).begun++
}

// Note takes a load report that came with an answer.
func (s *Table) Note(a ids.Address, l request.Load, now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(a).note(l, now)
}

// RecordReport takes a load report that came unasked.
func (s *Table) RecordReport(a ids.Address, l request.Load, now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(a)
	v.note(l, now)
	v.told, v.telling = now, true
}

func (v *seen) note(l request.Load, now units.Instant) {
	v.load, v.at, v.known, v.begun = l, now, true, 0
}

// Gone notes that the gatekeeper had no target of the service.
func (s *Table) Gone(a ids.Address, now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(a).goneUntil = now.Add(goneMemory)
}

// View returns what is known of the target.
func (s *Table) View(a ids.Address, slots units.Slots, now units.Instant) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.get(a)
	age := now.Sub(v.at)
	shut := v.known && v.load.BreakerOpen && (age < shutMemory || v.live(now))
	return View{
		Busy: v.busy(slots, now), Repeats: v.load.Repeats, Shut: shut, Trial: shut && age >= v.load.ProbeIn,
		Gone: now.Before(v.goneUntil), Silent: v.telling && !v.live(now),
	}
}

func (v *seen) live(now units.Instant) bool { return v.telling && now.Sub(v.told) < ReportTTL }

func (v *seen) busy(slots units.Slots, now units.Instant) float64 {
	usual := usualLoad * float64(slots)
	if !v.known {
		return math.Max(usual, float64(v.begun))
	}
	told := float64(v.load.Running + v.load.Waiting)
	if v.live(now) {
		return told + float64(v.begun)
	}
	weight := math.Exp(-float64(now.Sub(v.at)) / float64(memory))
	return weight*(told+float64(v.begun)) + (1-weight)*usual
}
