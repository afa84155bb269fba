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
	// firstCheck and longestCheck bound the pauses between attempts to reach a
	// doubted daemon; VMs come back after about a second, or never.
	firstCheck   = 200 * time.Millisecond
	longestCheck = 5 * time.Second
	// checkTimeout is for one attempt.
	checkTimeout = 500 * time.Millisecond
	// forgetAfter is after how long a daemon counts as lost for good: longer than regions
	// lose each other. It is well past the time in which a VM is replaced.
	forgetAfter = 2 * time.Hour
	// forgetSpread keeps the daemons that find it lost from all writing that at once.
	forgetSpread = 10 * time.Minute
)

// Tracker knows which daemons are doubted.
type Tracker struct {
	Common *common.Common

	link    *link.Link
	roll    *registry.Registry
	ctx     context.Context
	mu      sync.Mutex
	doubted map[ids.Address]units.Instant
}

// Name implements service.Service.
func (r *Tracker) Name() service.Name { return "reachable" }

// Needs implements service.Service.
func (r *Tracker) Needs() []service.Name { return []service.Name{"timer", "link", "registry"} }

// Start implements service.Service.
func (r *Tracker) Start(ctx context.Context, f service.Finder) error {
	r.ctx = ctx
	r.doubted = map[ids.Address]units.Instant{}
	return errors.Join(kernel.Bind(f, "link", &r.link), kernel.Bind(f, "registry", &r.roll))
}

// Stop implements service.Service.
func (r *Tracker) Stop(context.Context) error { return nil }

// Suspected reports whether the daemon did not answer and was not reached since.
func (r *Tracker) Suspected(a ids.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, doubted := r.doubted[a]
	return doubted
}

// DoubtedFor returns for how long the daemon has not been reached; it is false for one
// that is not doubted.
func (r *Tracker) DoubtedFor(a ids.Address, now units.Instant) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, doubted := r.doubted[a]
	return now.Sub(since), doubted
}

// LostWithin returns the doubted daemons that were reached within the time before now.
func (r *Tracker) LostWithin(within time.Duration, now units.Instant) []ids.Address {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []ids.Address
	for a, since := range r.doubted {
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
	if _, doubted := r.doubted[a]; doubted {
		delete(r.doubted, a)
		r.Common.Info(event.PeerTrusted, zap.String("address", string(a)))
	}
}

// RecordFailure notes that the daemon did not answer. One task then tries to reach it until
// it does.
func (r *Tracker) RecordFailure(a ids.Address, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, doubted := r.doubted[a]; doubted {
		return
	}
	r.doubted[a] = r.Common.Clock.Now()
	r.Common.Info(event.PeerDoubted, zap.String("address", string(a)), common.Cause(err))
	go r.check(a)
}

// check tries to reach a daemon until it answers or counts as lost for good.
func (r *Tracker) check(a ids.Address) {
	patience := forgetAfter + rand.N(forgetSpread)
	for pause := firstCheck; ; pause = min(2*pause, longestCheck) {
		if r.Common.Clock.Sleep(r.ctx, pause) != nil || !r.Suspected(a) {
			return
		}
		if r.reach(a) {
			r.RecordAnswer(a)
			return
		}
		if since, _ := r.DoubtedFor(a, r.Common.Clock.Now()); since > patience && r.forget(a) {
			return
		}
	}
}

// forget takes a lost daemon out of the fleet's list.
func (r *Tracker) forget(a ids.Address) bool {
	if err := r.roll.Remove(r.ctx, a); err != nil {
		r.Common.Warn(event.OwnUnsaid, zap.String("address", string(a)), common.Cause(err))
		return false
	}
	r.Common.Info(event.PeerForgotten, zap.String("address", string(a)))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.doubted, a)
	return true
}

// reach asks for nothing new over a new connection, because old ones may be dead.
func (r *Tracker) reach(a ids.Address) bool {
	ctx, cancel := r.Common.Clock.Within(r.ctx, checkTimeout)
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
