// Package reachable tracks which daemons are suspected because they did not answer, and probes
// them in the background until they answer again.
//
// # Usage
//
//	r.RecordFailure(address, err)
//	if r.Suspected(address) { choose another }
//	r.RecordAnswer(address)
package reachable

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// minProbePause and maxProbePause bound the pauses between probes of a suspected daemon. A VM
	// comes back after about a second, or never.
	minProbePause = 200 * time.Millisecond
	maxProbePause = 5 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// removeAfter is for how long a daemon must be unreachable until it is removed from the
	// registry. Regions lose each other for less, and a VM is replaced much earlier.
	removeAfter = 2 * time.Hour
	// removeSpread spreads the removals, so that the daemons which miss the same one don't all
	// write them at once.
	removeSpread = 10 * time.Minute
)

// Tracker holds the suspected daemons.
type Tracker struct {
	Common *common.Common
	// Reach replaces the probe over a connection if it is set.
	Reach func(context.Context, ids.Address) bool

	link     *link.Link
	registry *registry.Registry
	ctx      context.Context
	mu       sync.Mutex
	// suspectedSince holds the time of the first failure of each suspected daemon.
	suspectedSince map[ids.Address]units.Instant
}

// Name implements service.Service.
func (r *Tracker) Name() service.Name { return "reachable" }

// Needs implements service.Service.
func (r *Tracker) Needs() []service.Name { return []service.Name{"timer", "link", "registry"} }

// Start implements service.Service.
func (r *Tracker) Start(ctx context.Context, f service.Finder) error {
	r.ctx = ctx
	r.suspectedSince = map[ids.Address]units.Instant{}
	return errors.Join(kernel.Bind(f, "link", &r.link), kernel.Bind(f, "registry", &r.registry))
}

// Stop implements service.Service.
func (r *Tracker) Stop(context.Context) error { return nil }

// Suspected reports whether a call to the daemon failed and none succeeded since.
func (r *Tracker) Suspected(a ids.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, doubted := r.suspectedSince[a]
	return doubted
}

// SuspectedFor returns for how long the daemon has been suspected; it is false if it is not.
func (r *Tracker) SuspectedFor(a ids.Address, now units.Instant) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, doubted := r.suspectedSince[a]
	return now.Sub(since), doubted
}

// SuspectedWithin returns the suspected daemons whose first failure is less than the duration
// before now.
func (r *Tracker) SuspectedWithin(within time.Duration, now units.Instant) []ids.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []ids.Address
	for a, since := range r.suspectedSince {
		if now.Sub(since) < within {
			lost = append(lost, a)
		}
	}
	return lost
}

// RecordAnswer ends the suspicion of a daemon that answered.
func (r *Tracker) RecordAnswer(a ids.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, doubted := r.suspectedSince[a]; doubted {
		delete(r.suspectedSince, a)
		r.Common.Info(event.PeerRecovered, zap.String("address", string(a)))
	}
}

// RecordFailure marks a daemon that did not answer as suspected. A background task then probes
// it until it answers.
func (r *Tracker) RecordFailure(a ids.Address, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, doubted := r.suspectedSince[a]; doubted {
		return
	}
	r.suspectedSince[a] = r.Common.Clock.Now()
	r.Common.Info(event.PeerSuspected, zap.String("address", string(a)), common.Cause(err))
	go r.probeUntilReached(a)
}

// probeUntilReached probes a daemon until it answers, or until it has been unreachable for so
// long that it is removed.
func (r *Tracker) probeUntilReached(a ids.Address) {
	limit := removeAfter + rand.N(removeSpread)
	for pause := minProbePause; ; pause = min(2*pause, maxProbePause) {
		if r.Common.Clock.Sleep(r.ctx, pause) != nil || !r.Suspected(a) {
			return
		}
		if r.probe(a) {
			r.RecordAnswer(a)
			return
		}
		if since, _ := r.SuspectedFor(a, r.Common.Clock.Now()); since > limit && r.remove(a) {
			return
		}
	}
}

// remove deletes a lost daemon from the registry and reports whether that worked.
func (r *Tracker) remove(a ids.Address) bool {
	if err := r.registry.Remove(r.ctx, a); err != nil {
		r.Common.Warn(event.RegistrationWriteFailed, zap.String("address", string(a)), common.Cause(err))
		return false
	}
	r.Common.Info(event.PeerEvicted, zap.String("address", string(a)))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspectedSince, a)
	return true
}

// probe sends a message that needs no action over a new connection, because the pooled ones
// may be dead, and reports whether an answer came.
func (r *Tracker) probe(a ids.Address) bool {
	ctx, cancel := r.Common.Clock.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	if r.Reach != nil {
		return r.Reach(ctx, a)
	}
	s, err := r.link.OpenNew(ctx, a)
	if err != nil {
		return false
	}
	if s.Send(link.Borrow{Check: true}) != nil {
		s.Close()
		return false
	}
	if _, err := s.Receive(); err != nil {
		s.Close()
		return false
	}
	s.Release()
	return true
}
