// Package registry lists the daemons of a platform with their backend servers, and publishes
// the registration of this daemon.
//
// # Usage
//
//	for _, peer := range r.Serving("quotes") { ... }
//	<-r.UpdateOwn(func(own *registry.Registration) { own.State = registry.Leaving })
//
// The platform's store holds one registration of each daemon under its address and retains the
// newest record of each key. Registrations don't expire: each daemon finds out by itself which
// other daemons it can reach.
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
	// batchDelay lets updates accumulate before the next read: when a fleet starts, every daemon
	// writes a registration, and each of them would wake every reader.
	batchDelay = time.Second
	// maxWait is how long a read waits for news. Nothing depends on a registration within a bound:
	// each gatekeeper decides for itself what reaches its backend server.
	maxWait = 3 * time.Second
	// firstWriteDelay is when a daemon whose backend server has not announced itself registers.
	// Most do so sooner, and one write serves for both.
	firstWriteDelay = 1600 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pauses between failed writes.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// loadPollInterval is how often AwaitLoaded checks whether the registrations were read.
	loadPollInterval = 10 * time.Millisecond
)

// Registry holds the registrations of the fleet.
type Registry struct {
	Common *common.Common
	Store  keyed.Store

	follow        follow.Follower
	wake          chan struct{}
	mu            sync.Mutex
	registrations map[ids.Address]Registration
	own           Registration
	// published is set once a registration of this process may be in the store.
	published bool
	// highestRead is the revision of the newest own registration that was read from the store.
	highestRead uint64
	// previous is the registration that an earlier process of this daemon wrote.
	previous    Registration
	hasPrevious bool
	// stored is closed once the current own registration is in the store.
	stored chan struct{}
	// members, membership and departedAt belong to the view that was built last.
	members    map[ids.Address]ids.Centre
	membership uint64
	departedAt units.Instant
	// currentView is nil while it is out of date.
	currentView atomic.Pointer[view]
}

// view is an immutable index of the registrations, for readers.
type view struct {
	all       []Registration
	byService map[ids.Service][]Registration
	members   map[ids.Address]ids.Centre
	// membership is incremented whenever the set of listed daemons changes.
	membership uint64
	// departedAt is when a daemon was last found to be listed no more.
	departedAt units.Instant
}

// Name implements service.Service.
func (r *Registry) Name() service.Name { return "registry" }

// Needs implements service.Service.
func (r *Registry) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (r *Registry) Start(ctx context.Context, _ service.Finder) error {
	identity := r.Common.Mesh.Identity
	r.wake = make(chan struct{}, 1)
	r.registrations = map[ids.Address]Registration{}
	r.own = Registration{Daemon: identity.Daemon, Address: r.Common.Mesh.Sockets.AdvertisedAddress(), Centre: identity.Centre, Region: identity.Region, Incarnation: 1}
	r.stored = make(chan struct{})
	r.follow = follow.Follower{Common: r.Common, Store: r.Store, Topic: keyed.Fleet, BatchDelay: batchDelay, MaxWait: maxWait, Apply: r.apply, EraBegan: r.writeAgain}
	go r.follow.Run(ctx)
	go r.publish(ctx)
	go r.publishFirst(ctx)
	return nil
}

// Stop implements service.Service.
func (r *Registry) Stop(context.Context) error { return nil }

// Follower returns what reads the fleet's registrations.
func (r *Registry) Follower() *follow.Follower { return &r.follow }

// StoreOutage returns for how long the store has not answered, or zero.
func (r *Registry) StoreOutage(now units.Instant) time.Duration { return r.follow.Outage(now) }

// Own returns the registration of this daemon.
func (r *Registry) Own() Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// Previous returns the registration that an earlier process of this daemon wrote. It is false
// if there is none or the store has not been read yet.
func (r *Registry) Previous() (Registration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous, r.hasPrevious
}

// Loaded reports whether the fleet's registrations were read from the store. Until then some
// may be missing.
func (r *Registry) Loaded() bool { return r.follow.Loaded() }

// AwaitLoaded blocks until the fleet's registrations were read from the store, or returns the
// context's error.
func (r *Registry) AwaitLoaded(ctx context.Context) error {
	for !r.Loaded() {
		if err := r.Common.Clock.Sleep(ctx, loadPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// Serving returns the registrations of daemons whose backend servers serve the service and may
// get requests.
func (r *Registry) Serving(s ids.Service) []Registration { return r.view().byService[s] }

// All returns the registrations of all daemons that are not stopping.
func (r *Registry) All() []Registration { return r.view().all }

// Membership returns a number that changes whenever All returns other daemons than before.
func (r *Registry) Membership() uint64 { return r.view().membership }

// LastDeparture returns when a daemon last ceased to be returned by All, or zero.
func (r *Registry) LastDeparture() units.Instant { return r.view().departedAt }

// CentreOf returns the data centre of the daemon at the address; it is false if All does not
// return the daemon.
func (r *Registry) CentreOf(a ids.Address) (ids.Centre, bool) {
	centre, ok := r.view().members[a]
	return centre, ok
}

// Contains reports whether All returns the daemon at the address.
func (r *Registry) Contains(a ids.Address) bool {
	_, ok := r.view().members[a]
	return ok
}

// UpdateOwn changes the own registration and has it written in the background. The returned
// channel is closed once the changed registration is in the store.
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

// invalidateView makes the next reader build a new view; it is not built here because many
// registrations may arrive at once. The caller holds the lock.
func (r *Registry) invalidateView() { r.currentView.Store(nil) }

// view returns an up-to-date view.
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

// buildView builds a view of the registrations. The caller holds the lock.
func (r *Registry) buildView() *view {
	l := &view{byService: map[ids.Service][]Registration{}, members: map[ids.Address]ids.Centre{}}
	add := func(reg Registration) {
		if !reg.Stopping {
			l.all = append(l.all, reg)
			l.members[reg.Address] = reg.Centre
		}
		if reg.Usable() {
			l.byService[reg.Service] = append(l.byService[reg.Service], reg)
		}
	}
	for _, reg := range r.registrations {
		add(reg)
	}
	// The own backend server gets the requests of own callers until the daemon has stopped.
	own := r.own
	own.Stopping = false
	add(own)
	if !maps.Equal(l.members, r.members) {
		for a := range r.members {
			if _, listed := l.members[a]; !listed {
				r.departedAt = r.Common.Clock.Now()
			}
		}
		r.members = l.members
		r.membership++
	}
	l.membership, l.departedAt = r.membership, r.departedAt
	return l
}

// EncodedOwn returns the own registration in encoded form. It is nil until the store was read,
// since an earlier process may have written newer ones.
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

// Encoded returns all known registrations in encoded form, for daemons that can't read the
// store.
func (r *Registry) Encoded() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all [][]byte
	for _, reg := range r.registrations {
		if raw, err := encode(reg); err == nil {
			all = append(all, raw.Value)
		}
	}
	if raw, err := encode(r.own); err == nil {
		all = append(all, raw.Value)
	}
	return all
}
