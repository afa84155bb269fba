// Package directory holds the newest description of every daemon and the targets of
// each service.
//
// # Usage
//
//	d.Put(m)
//	for _, c := range d.Targets("andrade/payments") { ... }
package directory

import (
	"context"
	"maps"
	"slices"
	"sync"

	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Directory holds the members of the fleet. The zero value is empty. It is safe for
// concurrent use.
type Directory struct {
	// Clock stamps the descriptions; nil leaves the stamps at zero.
	Clock *timer.Timer

	mu         sync.RWMutex
	members    map[ids.Daemon]entry
	tombstones map[ids.Daemon]tombstone
	byService  map[ids.Service]serviceTargets
	// digest is the digest of the members that have described themselves.
	digest digest.Digest
	sorted sorted
	// changes counts all changes, reachabilityChanges those of which daemons are
	// reachable.
	changes             uint64
	reachabilityChanges uint64
}

// entry is a member with its state at this daemon.
type entry struct {
	member.Member
	updatedAt units.Instant
	// unreachable is set while the daemon can't be reached by its peers.
	unreachable      bool
	unreachableSince units.Instant
}

// serviceTargets holds a service's targets that take new work.
type serviceTargets struct {
	reachable   []Candidate
	unreachable []Candidate
}

// Candidate is a target with the daemon that is its gatekeeper.
type Candidate struct {
	Daemon ids.Daemon
	Centre ids.Centre
	Region ids.Region
	// UpdatedAt is when this daemon received the member's current description.
	UpdatedAt units.Instant
	member.Target
}

// Name implements service.Service.
func (d *Directory) Name() service.Name { return "directory" }

// Needs implements service.Service.
func (d *Directory) Needs() []service.Name { return nil }

// Start implements service.Service.
func (d *Directory) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (d *Directory) Stop(context.Context) error { return nil }

func (d *Directory) now() units.Instant {
	if d.Clock == nil {
		return 0
	}
	return d.Clock.Now()
}

// Put stores m unless a newer description is known, and reports whether m was
// stored. A newer description ends the daemon's being unreachable: only a daemon
// that is reached learns that it has to renew its description.
func (d *Directory) Put(m member.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.members[m.Daemon]
	if ok && !old.Precedes(m) {
		return false
	}
	if t, ok := d.tombstones[m.Daemon]; ok && !t.revision.Precedes(m.Revision()) {
		return false
	}
	delete(d.tombstones, m.Daemon)
	if d.members == nil {
		d.members = map[ids.Daemon]entry{}
		d.byService = map[ids.Service]serviceTargets{}
		d.digest = digest.Digest{}
	}
	d.toggleDigest(old.Member)
	d.toggleDigest(m)
	d.unindex(old)
	e := entry{Member: m, updatedAt: d.now()}
	d.members[m.Daemon] = e
	d.index(e)
	d.countChange(!ok || old.reachable() != e.reachable())
	return true
}

func (e entry) reachable() bool { return !e.Gone && !e.unreachable }

// countChange counts a change and drops the sorted lists. The caller holds the
// lock.
func (d *Directory) countChange(moved bool) {
	d.sorted = sorted{}
	d.changes++
	if moved {
		d.reachabilityChanges++
	}
}

// Changes returns the count of changes of any member.
func (d *Directory) Changes() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// ReachabilityChanges returns the count of changes of which daemons are reachable.
func (d *Directory) ReachabilityChanges() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.reachabilityChanges
}

// toggleDigest adds a description to the digest or removes it. Seeds that have not
// described themselves don't count.
func (d *Directory) toggleDigest(m member.Member) {
	if m.Incarnation != 0 {
		d.digest.Toggle(m)
	}
}

// Digest returns the digest of all members that have described themselves.
func (d *Directory) Digest() digest.Digest {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.digest == nil {
		return digest.Digest{}
	}
	return maps.Clone(d.digest)
}

// MarkUnreachable marks a daemon that can't be reached by its peers. It reports
// whether the daemon is known and was not marked before.
func (d *Directory) MarkUnreachable(id ids.Daemon) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.members[id]
	if !ok || e.unreachable {
		return false
	}
	d.unindex(e)
	e.unreachable, e.unreachableSince = true, d.now()
	d.members[id] = e
	d.index(e)
	d.countChange(true)
	return true
}

// IsUnreachable reports whether the daemon can't be reached by its peers.
func (d *Directory) IsUnreachable(id ids.Daemon) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.members[id].unreachable
}

// Member returns one daemon's description.
func (d *Directory) Member(id ids.Daemon) (member.Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	e, ok := d.members[id]
	return e.Member, ok
}

// Targets returns the targets of a service that take new work. Those of unreachable
// daemons are returned only when there are no others. The caller must not change
// the slice.
func (d *Directory) Targets(id ids.Service) []Candidate {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l := d.byService[id]
	if len(l.reachable) == 0 {
		return l.unreachable
	}
	return l.reachable
}

// index adds the member's targets to new slices, because readers hold the old ones.
// The caller holds the lock.
func (d *Directory) index(e entry) {
	if e.Leaving || e.Gone {
		return
	}
	for _, t := range e.Targets {
		if t.Leaving || t.Ejected {
			continue
		}
		c := Candidate{Daemon: e.Daemon, Centre: e.Centre, Region: e.Region, UpdatedAt: e.updatedAt, Target: t}
		l := d.byService[t.Service]
		if e.unreachable {
			l.unreachable = append(slices.Clone(l.unreachable), c)
		} else {
			l.reachable = append(slices.Clone(l.reachable), c)
		}
		d.byService[t.Service] = l
	}
}

func (d *Directory) unindex(e entry) {
	for _, t := range e.Targets {
		l := d.byService[t.Service]
		l.reachable = without(l.reachable, e.Daemon)
		l.unreachable = without(l.unreachable, e.Daemon)
		if len(l.reachable)+len(l.unreachable) == 0 {
			delete(d.byService, t.Service)
			continue
		}
		d.byService[t.Service] = l
	}
}

func without(list []Candidate, id ids.Daemon) []Candidate {
	var rest []Candidate
	for _, c := range list {
		if c.Daemon != id {
			rest = append(rest, c)
		}
	}
	return rest
}
