// Package directory keeps the newest description of every daemon and finds the
// targets of a service.
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

// Directory holds the members of the fleet. The zero value is empty.
type Directory struct {
	// Clock stamps what arrives; nil leaves the stamps at zero.
	Clock *timer.Timer

	mu         sync.RWMutex
	members    map[ids.Daemon]entry
	tombstones map[ids.Daemon]tombstone
	byService  map[ids.Service]serviceTargets
	// digest sums up the members that have described themselves.
	digest digest.Digest
	sorted sorted
	// changes counts all changes, moves those that change who is reachable.
	changes             uint64
	reachabilityChanges uint64
}

// known is a member as this daemon sees it.
type entry struct {
	member.Member
	updatedAt units.Instant
	// lost is set while the daemon can't be reached by its peers.
	unreachable      bool
	unreachableSince units.Instant
}

// list holds a service's targets that take new work.
type serviceTargets struct {
	reachable   []Candidate
	unreachable []Candidate
}

// Candidate is a target with the daemon that keeps its gate.
type Candidate struct {
	Daemon ids.Daemon
	Centre ids.Centre
	Region ids.Region
	// Seen is when this daemon learned of the target's present state.
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

// Put stores m unless a newer description is known. It reports whether m was new.
// A newer description ends the daemon's being lost: only a daemon that is reached
// learns that it has to renew its description.
func (d *Directory) Put(m member.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.members[m.Daemon]
	if ok && !old.Precedes(m) {
		return false
	}
	if g, ok := d.tombstones[m.Daemon]; ok && !g.revision.Precedes(m.Revision()) {
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
	k := entry{Member: m, updatedAt: d.now()}
	d.members[m.Daemon] = k
	d.index(k)
	d.countChange(!ok || old.reachable() != k.reachable())
	return true
}

func (k entry) reachable() bool { return !k.Gone && !k.unreachable }

// changed notes a change. The lock is held.
func (d *Directory) countChange(moved bool) {
	d.sorted = sorted{}
	d.changes++
	if moved {
		d.reachabilityChanges++
	}
}

// Changes counts the changes of any member.
func (d *Directory) Changes() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// Moves counts the changes of which daemons are reachable.
func (d *Directory) ReachabilityChanges() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.reachabilityChanges
}

// sum adds a description to the digest or takes it away again. Seeds that have not
// described themselves do not count.
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

// SetLost notes that the daemon can't be reached by its peers. It reports whether
// that is news.
func (d *Directory) MarkUnreachable(id ids.Daemon) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.members[id]
	if !ok || k.unreachable {
		return false
	}
	d.unindex(k)
	k.unreachable, k.unreachableSince = true, d.now()
	d.members[id] = k
	d.index(k)
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
	k, ok := d.members[id]
	return k.Member, ok
}

// Targets returns the targets of a service that take new work. Those of lost
// daemons come only when there are no others. The caller must not change the
// slice.
func (d *Directory) Targets(id ids.Service) []Candidate {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l := d.byService[id]
	if len(l.reachable) == 0 {
		return l.unreachable
	}
	return l.reachable
}

// index adds the member's targets to fresh slices, because readers keep the old.
func (d *Directory) index(k entry) {
	if k.Leaving || k.Gone {
		return
	}
	for _, t := range k.Targets {
		if t.Leaving || t.Ejected {
			continue
		}
		c := Candidate{Daemon: k.Daemon, Centre: k.Centre, Region: k.Region, UpdatedAt: k.updatedAt, Target: t}
		l := d.byService[t.Service]
		if k.unreachable {
			l.unreachable = append(slices.Clone(l.unreachable), c)
		} else {
			l.reachable = append(slices.Clone(l.reachable), c)
		}
		d.byService[t.Service] = l
	}
}

func (d *Directory) unindex(k entry) {
	for _, t := range k.Targets {
		l := d.byService[t.Service]
		l.reachable = without(l.reachable, k.Daemon)
		l.unreachable = without(l.unreachable, k.Daemon)
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
