// Package loadview holds the load reports of other gatekeepers and estimates from them how
// busy their targets are. Reports come with the answers to requests, and from package
// loadreport, by which the gatekeepers of a data centre report periodically.
//
// # Usage
//
//	t.CountRequest(address)
//	t.RecordAnswer(address, load, now)
//	view := t.View(address, slots, now)
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
	// decayTime is the time in which the weight of a load report falls to 1/e, unless it
	// is periodic; requests take about as long.
	decayTime = 700 * time.Millisecond
	// defaultLoad is the assumed load of a target without a report, as a fraction of its
	// slots.
	defaultLoad = 0.5
	// breakerOpenTTL is how long a report of an open breaker counts when no periodic
	// report is current; breakers stay open for seconds.
	breakerOpenTTL = 3 * time.Second
	// coldRoomTTL is the time in which the requests that a cold target bears are counted.
	coldRoomTTL = time.Second
	// noTargetTTL is how long a gatekeeper that had no target of the service is avoided.
	noTargetTTL = 700 * time.Millisecond
	// ReportTTL is how long a periodic load report counts as current.
	ReportTTL = 1500 * time.Millisecond
)

// Table holds the last load report of each gatekeeper. The zero value is empty. Its
// methods may be called from several goroutines.
type Table struct {
	mu      sync.Mutex
	entries map[ids.Address]*entry
}

type entry struct {
	load       request.Load
	receivedAt units.Instant
	known      bool
	// sentSince counts the requests that this daemon sent since the report.
	sentSince     int
	noTargetUntil units.Instant
	// reportedAt is when the last periodic report came, and reporting is set once one did.
	reportedAt units.Instant
	reporting  bool
}

// View is the estimated state of one target.
type View struct {
	// InFlight is the estimated number of requests that run or wait.
	InFlight float64
	// RetriesLeft is how many retries the gatekeeper still admits.
	RetriesLeft int
	BreakerOpen bool
	// Probe is set when an open breaker may admit a probe.
	Probe bool
	// NoTarget is set when the gatekeeper lately had no target of the service.
	NoTarget bool
	// WarmUp is how much longer the target stays cold, and ColdRoom how many requests it bears now. It
	// is negative when more were sent, and counts only while the report is not older than a second.
	WarmUp   time.Duration
	ColdRoom int
	// Slots are the open slots of the last report, if they are fewer than those of the target.
	Slots units.Slots
	// Stale is set when a gatekeeper that sent periodic reports has stopped to send them.
	Stale bool
}

// Name implements service.Service.
func (t *Table) Name() service.Name { return "loadview" }

// Needs implements service.Service.
func (t *Table) Needs() []service.Name { return nil }

// Start implements service.Service.
func (t *Table) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (t *Table) Stop(context.Context) error { return nil }

func (t *Table) get(a ids.Address) *entry {
	if t.entries == nil {
		t.entries = map[ids.Address]*entry{}
	}
	e, ok := t.entries[a]
	if !ok {
		e = &entry{}
		t.entries[a] = e
	}
	return e
}

// CountRequest counts a request that this daemon sends to the target, until the next
// load report includes it.
func (t *Table) CountRequest(a ids.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(a).sentSince++
}

// RecordAnswer stores a load report that came with an answer.
func (t *Table) RecordAnswer(a ids.Address, l request.Load, now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(a).update(l, now)
}

// RecordReport stores a periodic load report.
func (t *Table) RecordReport(a ids.Address, l request.Load, now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(a)
	e.update(l, now)
	e.reportedAt, e.reporting = now, true
}

func (e *entry) update(l request.Load, now units.Instant) {
	e.load, e.receivedAt, e.known, e.sentSince = l, now, true, 0
}

// RecordNoTarget records that the gatekeeper had no target of the service.
func (t *Table) RecordNoTarget(a ids.Address, now units.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(a).noTargetUntil = now.Add(noTargetTTL)
}

// View returns the estimated state at now of the target, which has the given slots.
func (t *Table) View(a ids.Address, slots units.Slots, now units.Instant) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(a)
	age := now.Sub(e.receivedAt)
	warmUp := max(e.load.WarmUp-age, 0)
	room := e.load.ColdRoom - e.sentSince
	if age >= coldRoomTTL {
		room = 1
	}
	if e.known && e.load.Slots > 0 && age < breakerOpenTTL {
		slots = min(slots, e.load.Slots)
	}
	open := e.known && e.load.BreakerOpen && (age < breakerOpenTTL || e.fresh(now))
	return View{
		InFlight: e.inFlight(slots, now), RetriesLeft: e.load.RetriesLeft, BreakerOpen: open, Probe: open && age >= e.load.ProbeIn,
		WarmUp: warmUp, ColdRoom: room, Slots: slots,
		NoTarget: now.Before(e.noTargetUntil), Stale: e.reporting && !e.fresh(now),
	}
}

func (e *entry) fresh(now units.Instant) bool {
	return e.reporting && now.Sub(e.reportedAt) < ReportTTL
}

// inFlight estimates the requests at the target. The weight of a report that is not
// periodic decays towards the default load.
func (e *entry) inFlight(slots units.Slots, now units.Instant) float64 {
	assumed := defaultLoad * float64(slots)
	if !e.known {
		return math.Max(assumed, float64(e.sentSince))
	}
	reported := float64(e.load.Running + e.load.Waiting)
	if e.fresh(now) {
		return reported + float64(e.sentSince)
	}
	weight := math.Exp(-float64(now.Sub(e.receivedAt)) / float64(decayTime))
	return weight*(reported+float64(e.sentSince)) + (1-weight)*assumed
}
