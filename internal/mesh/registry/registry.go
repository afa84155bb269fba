// Package registry knows the daemons of a platform and their backend servers, and tells
// the fleet about this one.
//
// # Usage
//
//	for _, peer := range r.Serving("quotes") { ... }
//	<-r.Update(func(own *roll.Record) { own.State = roll.Leaving })
//
// Each daemon keeps one record under its address in the platform's store, which
// retains the newest record of each key. There is no lease: whether a daemon can be
// reached is each daemon's own experience.
package registry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/follow"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// batchDelay is how long news are left to pile up: at a start every daemon writes a
	// record, and each would wake every reader.
	batchDelay = time.Second
	// minRetryPause and longestRetry bound the pauses between failed writes.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// loadPollInterval is how often a task looks whether the records were read.
	loadPollInterval = 10 * time.Millisecond
)

// Registry is the list of the fleet's daemons.
type Registry struct {
	Common *common.Common
	Store  keyed.Store

	follow  follow.Follower
	wake    chan struct{}
	mu      sync.Mutex
	records map[ids.Address]Registration
	own     Registration
	// published is set once a record of this process may be in the store.
	published bool
	// highestRead is the number of the newest own record that was read.
	highestRead uint64
	// previous is the record of an earlier process of this daemon.
	previous    Registration
	hasPrevious bool
	// stored is closed when the own record as it is now is in the store.
	stored chan struct{}
	// members and membership are those of the lists that were built last.
	members    map[ids.Address]bool
	membership uint64
	// currentView is empty while they are out of date.
	currentView atomic.Pointer[view]
}

// view is what readers see; it never changes.
type view struct {
	all       []Registration
	byService map[ids.Service][]Registration
	members   map[ids.Address]bool
	// membership counts the changes of which daemons are listed.
	membership uint64
}

// Name implements service.Service.
func (r *Registry) Name() service.Name { return "registry" }

// Needs implements service.Service.
func (r *Registry) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (r *Registry) Start(ctx context.Context, _ service.Finder) error {
	identity := r.Common.Mesh.Identity
	r.wake = make(chan struct{}, 1)
	r.records = map[ids.Address]Registration{}
	r.own = Registration{Daemon: identity.Daemon, Address: r.Common.Mesh.Sockets.Known(), Centre: identity.Centre, Incarnation: 1}
	r.stored = make(chan struct{})
	r.follow = follow.Follower{Common: r.Common, Store: r.Store, Topic: keyed.Fleet, BatchDelay: batchDelay, Apply: r.apply}
	go r.follow.Run(ctx)
	go r.publish(ctx)
	r.wakePublisher()
	return nil
}

// Stop implements service.Service.
func (r *Registry) Stop(context.Context) error { return nil }

// StoreOutage returns for how long the store has not answered.
func (r *Registry) StoreOutage(now units.Instant) time.Duration { return r.follow.Outage(now) }

// Own returns this daemon's record.
func (r *Registry) Own() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// Previous returns what an earlier process of this daemon told about its backend
// server; it is false before the store was read.
func (r *Registry) Previous() (Registration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous, r.hasPrevious
}

// Loaded reports whether the fleet's records were read. Until then others may be missing.
func (r *Registry) Loaded() bool { return r.follow.Loaded() }

// AwaitLoaded returns once the fleet's records were read, or with the context's error.
func (r *Registry) AwaitLoaded(ctx context.Context) error {
	for !r.Loaded() {
		if err := r.Common.Clock.Sleep(ctx, loadPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// Serving returns the records of daemons whose backend servers serve the service.
func (r *Registry) Serving(s ids.Service) []Registration { return r.view().byService[s] }

// All returns the records of all daemons that do not stop.
func (r *Registry) All() []Registration { return r.view().all }

// Membership returns a number that changes whenever All returns other daemons than before.
func (r *Registry) Membership() uint64 { return r.view().membership }

// Contains reports whether the daemon is one of those that All returns.
func (r *Registry) Contains(a ids.Address) bool { return r.view().members[a] }

// UpdateOwn changes the own record. The channel that it returns is closed once the record as
// it then is has got to the store.
func (r *Registry) UpdateOwn(change func(*Registration)) <-chan struct{} {
	defer r.wakePublisher()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.own
	change(&r.own)
	if r.own != before {
		r.own.Revision++
		r.stored = make(chan struct{})
		r.invalidateView()
	}
	return r.stored
}

// invalidateView makes the next reader build new lists: many records may come at once. The caller
// holds the lock.
func (r *Registry) invalidateView() { r.currentView.Store(nil) }

// view returns the lists as the records are now.
func (r *Registry) view() *view {
	if l := r.currentView.Load(); l != nil {
		return l
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.currentView.Load(); l != nil {
		return l
	}
	l := r.buildView()
	r.currentView.Store(l)
	return l
}

// buildView makes the lists. The caller holds the lock.
func (r *Registry) buildView() *view {
	l := &view{byService: map[ids.Service][]Registration{}, members: map[ids.Address]bool{}}
	add := func(rec Registration) {
		if !rec.Stopping {
			l.all = append(l.all, rec)
			l.members[rec.Address] = true
		}
		if rec.Usable() {
			l.byService[rec.Service] = append(l.byService[rec.Service], rec)
		}
	}
	for _, rec := range r.records {
		add(rec)
	}
	// The own backend server serves the own callers until the daemon has ended.
	own := r.own
	own.Stopping = false
	add(own)
	if !maps.Equal(l.members, r.members) {
		r.members = l.members
		r.membership++
	}
	l.membership = r.membership
	return l
}

// EncodedOwn returns the own record in encoded form, or nothing while this process does not
// know whether an earlier one wrote newer ones.
func (r *Registry) EncodedOwn() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.Loaded() {
		return nil
	}
	raw, err := encode(r.own)
	if err != nil {
		return nil
	}
	return raw.Value
}

// Encoded returns every known record in encoded form, for daemons that can't read the store.
func (r *Registry) Encoded() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all [][]byte
	for _, rec := range r.records {
		if raw, err := encode(rec); err == nil {
			all = append(all, raw.Value)
		}
	}
	if raw, err := encode(r.own); err == nil {
		all = append(all, raw.Value)
	}
	return all
}
