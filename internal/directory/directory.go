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
	"slices"
	"sort"
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Directory holds the members of the fleet. The zero value is empty.
type Directory struct {
	mu        sync.RWMutex
	members   map[ids.Daemon]member.Member
	byService map[ids.Service][]Candidate
}

// Candidate is a target with the daemon that keeps its gate.
type Candidate struct {
	Daemon ids.Daemon
	Centre ids.Centre
	Region ids.Region
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

// Put stores m unless a newer description is known. It reports whether m was new.
func (d *Directory) Put(m member.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.members[m.Daemon]
	if known && !old.Precedes(m) {
		return false
	}
	if d.members == nil {
		d.members = map[ids.Daemon]member.Member{}
		d.byService = map[ids.Service][]Candidate{}
	}
	d.unindex(old)
	d.members[m.Daemon] = m
	d.index(m)
	return true
}

// Forget removes a daemon that is known to be gone.
func (d *Directory) Forget(id ids.Daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unindex(d.members[id])
	delete(d.members, id)
}

// Member returns one daemon's description.
func (d *Directory) Member(id ids.Daemon) (member.Member, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	m, ok := d.members[id]
	return m, ok
}

// Members returns all daemons in order of their names.
func (d *Directory) Members() []member.Member {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]member.Member, 0, len(d.members))
	for _, m := range d.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Daemon < all[j].Daemon })
	return all
}

// Targets returns the targets of a service that take new work. The caller must
// not change the slice.
func (d *Directory) Targets(id ids.Service) []Candidate {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.byService[id]
}

// index adds the member's targets to fresh slices, because readers keep the old.
func (d *Directory) index(m member.Member) {
	if m.Leaving || m.Gone {
		return
	}
	for _, t := range m.Targets {
		if t.Leaving || t.Ejected {
			continue
		}
		list := slices.Clone(d.byService[t.Service])
		d.byService[t.Service] = append(list, Candidate{Daemon: m.Daemon, Centre: m.Centre, Region: m.Region, Target: t})
	}
}

func (d *Directory) unindex(m member.Member) {
	for _, t := range m.Targets {
		var rest []Candidate
		for _, c := range d.byService[t.Service] {
			if c.Daemon != m.Daemon {
				rest = append(rest, c)
			}
		}
		if len(rest) == 0 {
			delete(d.byService, t.Service)
			continue
		}
		d.byService[t.Service] = rest
	}
}
