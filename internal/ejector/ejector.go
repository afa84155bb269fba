// Package ejector ejects failing targets of this VM from load balancing and
// readmits them.
//
// # Usage
//
//	e, err := kernel.Find[*ejector.Ejector](f, "ejector")
//	e.Track(ejector.Target{ID: "payments-1", Service: "andrade/payments", Slots: 3})
//	if !e.Admits("payments-1", idempotent) { ... }
//	o := e.Begin("payments-1", route)
//	o.MarkSent()
//	o.End(sample.Good{})
//
// Every outcome is recorded by the target's detector. A suspicion is compared with
// the outcomes of a few random siblings. A failing target is ejected only with a
// permit from the steward of its service. An ejected target is readmitted after a
// health check and a few idempotent probe requests (half-open), or at once when its
// permit can't be renewed.
package ejector

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/probation"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// checkPeriod is how often hung requests, permits and suspicions are checked.
const checkPeriod = 50 * time.Millisecond

// Ejector decides which targets of this VM are ejected. All methods may be called
// concurrently.
type Ejector struct {
	Common *common.Common
	// Dialer opens connections for health checks; nil means TCP.
	Dialer Dialer

	directory *directory.Directory
	gossip    *gossip.Gossip
	peers     peer.Caller
	permits   *permit.Manager

	mu      sync.Mutex
	targets map[ids.Target]*state
}

// Target is a backend server of this VM.
type Target struct {
	ID      ids.Target
	Service ids.Service
	Address ids.Address
	Slots   units.Slots
	// WarmUp is how long the target needs to warm up.
	WarmUp time.Duration
}

// Name implements service.Service.
func (e *Ejector) Name() service.Name { return "ejector" }

// Needs implements service.Service.
func (e *Ejector) Needs() []service.Name {
	return []service.Name{"timer", "directory", "gossip", "dial", "permit"}
}

// Start implements service.Service.
func (e *Ejector) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "directory", &e.directory),
		kernel.Bind(f, "gossip", &e.gossip),
		kernel.Bind(f, "dial", &e.peers),
		kernel.Bind(f, "permit", &e.permits),
	); err != nil {
		return err
	}
	go e.run(ctx)
	return nil
}

// Stop implements service.Service.
func (e *Ejector) Stop(context.Context) error { return nil }

// Track adds a target. A target that is announced again starts with empty state.
func (e *Ejector) Track(t Target) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.targets == nil {
		e.targets = map[ids.Target]*state{}
	}
	e.targets[t.ID] = &state{target: t, trackedAt: now, inFlight: map[*Observation]bool{}}
}

// Untrack removes a target that has been deregistered. Its permit expires.
func (e *Ejector) Untrack(id ids.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, id)
}

// MarkEjected sets the Ejected flag of each target in this daemon's member record.
// It replaces m.Targets by a copy, because other goroutines may hold the old slice.
func (e *Ejector) MarkEjected(m *member.Member) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	m.Targets = slices.Clone(m.Targets)
	for i := range m.Targets {
		s, ok := e.targets[m.Targets[i].ID]
		m.Targets[i].Ejected = ok && s.stage(now) == probation.Ejected
	}
}

// Ejected reports whether the target is ejected or half-open.
func (e *Ejector) Ejected(id ids.Target) bool {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.targets[id]
	return ok && s.stage(now) != probation.InService
}

// Admits reports whether the target may be sent a request now. A half-open target
// is sent one idempotent request at a time.
func (e *Ejector) Admits(id ids.Target, idempotent bool) bool {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.targets[id]
	if !ok {
		return true
	}
	switch s.stage(now) {
	case probation.Ejected:
		return false
	case probation.HalfOpen:
		return idempotent && len(s.inFlight) == 0
	case probation.InService:
	}
	return true
}

// Observe records the outcome of a request that has no Observation.
func (e *Ejector) Observe(id ids.Target, route ids.Route, x sample.Sample) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.targets[id]; ok {
		s.record(now, route, x)
	}
}
