// Package reachable remembers which daemons did not answer lately, and finds out in
// the background when they answer again.
//
// # Usage
//
//	r.Failed(address, err)
//	if r.Doubted(address) { choose another }
//	r.Answered(address)
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
	// minProbePause and longestCheck bound the pauses between attempts to reach a
	// doubted daemon; VMs come back after about a second, or never.
	minProbePause = 200 * time.Millisecond
	maxProbePause = 5 * time.Second
	// probeTimeout is for one attempt.
	probeTimeout = 500 * time.Millisecond
	// removeAfter is after how long a daemon counts as lost for good: longer than regions
	// lose each other. It is well past the time in which a VM is replaced.
	removeAfter = 2 * time.Hour
	// removeSpread keeps the daemons that find it lost from all writing that at once.
	removeSpread = 10 * time.Minute
)

// Tracker knows which daemons are doubted.
type Tracker struct {
	Common *common.Common

	link           *link.Link
	registry       *registry.Registry
	ctx            context.Context
	mu             sync.Mutex
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

// Suspected reports whether the daemon did not answer and was not reached since.
func (r *Tracker) Suspected(a ids.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, doubted := r.suspectedSince[a]
	return doubted
}

// SuspectedFor returns for how long the daemon has not been reached; it is false for one
// that is not doubted.
func (r *Tracker) SuspectedFor(a ids.Address, now units.Instant) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, doubted := r.suspectedSince[a]
	return now.Sub(since), doubted
}

// SuspectedWithin returns the doubted daemons that were reached within the time before now.
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

// RecordAnswer notes that the daemon was reached.
func (r *Tracker) RecordAnswer(a ids.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, doubted := r.suspectedSince[a]; doubted {
		delete(r.suspectedSince, a)
		r.Common.Info(event.PeerTrusted, zap.String("address", string(a)))
	}
}

// RecordFailure notes that the daemon did not answer. One task then tries to reach it until
// it does.
func (r *Tracker) RecordFailure(a ids.Address, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, doubted := r.suspectedSince[a]; doubted {
		return
	}
	r.suspectedSince[a] = r.Common.Clock.Now()
	r.Common.Info(event.PeerDoubted, zap.String("address", string(a)), common.Cause(err))
	go r.probeUntilReached(a)
}

// probeUntilReached tries to reach a daemon until it answers or counts as lost for good.
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

// remove takes a lost daemon out of the fleet's list.
func (r *Tracker) remove(a ids.Address) bool {
	if err := r.registry.Remove(r.ctx, a); err != nil {
		r.Common.Warn(event.OwnUnsaid, zap.String("address", string(a)), common.Cause(err))
		return false
	}
	r.Common.Info(event.PeerForgotten, zap.String("address", string(a)))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspectedSince, a)
	return true
}

// probe asks for nothing new over a new connection, because old ones may be dead.
func (r *Tracker) probe(a ids.Address) bool {
	ctx, cancel := r.Common.Clock.Within(r.ctx, probeTimeout)
	defer cancel()
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
