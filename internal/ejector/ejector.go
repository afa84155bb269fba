// Package ejector takes failing targets of this VM out of use and lets them back.
//
// # Usage
//
//	e, err := kernel.Find[*ejector.Ejector](f, "ejector")
//	e.Track(ejector.Target{ID: "payments-1", Service: "andrade/payments", Slots: 3})
//	if !e.Admits("payments-1", idempotent) { ... }
//	w := e.Begin("payments-1", route)
//	w.Sent()
//	w.End(sample.Good{})
//
// Every outcome goes to the target's detector. A suspicion is put to a few random
// siblings; a finding needs a permit before it takes effect. An ejected target
// comes back after its probation: a probe, then a few requests that are safe to
// repeat. It comes back at once when its permit can't be renewed.
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

// checkPeriod is how often hangs, leases and suspicions are looked at.
const checkPeriod = 50 * time.Millisecond

// Ejector decides for the targets of this VM.
type Ejector struct {
	Common *common.Common
	// Dialer reaches the backend servers for probes; nil stands for TCP.
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

// Track begins to follow a target. A target that is announced anew starts afresh.
func (e *Ejector) Track(t Target) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.targets == nil {
		e.targets = map[ids.Target]*state{}
	}
	e.targets[t.ID] = &state{target: t, trackedAt: now, inFlight: map[*Observation]bool{}}
}

// Untrack ends following a target that is gone. Its permit lapses.
func (e *Ejector) Untrack(id ids.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.targets, id)
}

// MarkEjected sets in the daemon's own description which targets are out of use. It leaves
// the list as it was to those who have it already.
func (e *Ejector) MarkEjected(m *member.Member) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	m.Targets = slices.Clone(m.Targets)
	for i := range m.Targets {
		p, ok := e.targets[m.Targets[i].ID]
		m.Targets[i].Ejected = ok && p.stage(now) == probation.Ejected
	}
}

// Ejected reports whether the target is out of use or on trial.
func (e *Ejector) Ejected(id ids.Target) bool {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.targets[id]
	return ok && p.stage(now) != probation.InService
}

// Admits reports whether the target may get a request now. On trial it gets one at
// a time, and only requests that are safe to repeat.
func (e *Ejector) Admits(id ids.Target, idempotent bool) bool {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.targets[id]
	if !ok {
		return true
	}
	switch p.stage(now) {
	case probation.Ejected:
		return false
	case probation.HalfOpen:
		return idempotent && len(p.inFlight) == 0
	case probation.InService:
	}
	return true
}

// Observe takes in the outcome of a request that was not watched.
func (e *Ejector) Observe(id ids.Target, route ids.Route, x sample.Sample) {
	now := e.Common.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.targets[id]; ok {
		p.record(now, route, x)
	}
}
