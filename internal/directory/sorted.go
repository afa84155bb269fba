package directory

import (
	"cmp"
	"slices"

	"balsamwharf.example/balsamwharf/internal/member"
)

// sorted holds the members in order. It is made when they are read and dropped when
// a member changes. Readers hold the slices, so they are never changed.
type sorted struct {
	made        bool
	all         []member.Member
	reachable   []member.Member
	unreachable []member.Member
}

// Members returns all daemons in order of their names. The caller must not change
// the slice.
func (d *Directory) Members() []member.Member { return d.inOrder().all }

// Reachable returns the daemons that are neither gone nor unreachable, in order.
// The caller must not change the slice.
func (d *Directory) Reachable() []member.Member { return d.inOrder().reachable }

// Unreachable returns the daemons that can't be reached by their peers and have not
// announced that they are gone, in order. The caller must not change the slice.
func (d *Directory) Unreachable() []member.Member { return d.inOrder().unreachable }

func (d *Directory) inOrder() sorted {
	d.mu.RLock()
	s := d.sorted
	d.mu.RUnlock()
	if s.made {
		return s
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.sorted.made {
		d.sorted = d.sort()
	}
	return d.sorted
}

// sort makes the lists. The caller holds the lock.
func (d *Directory) sort() sorted {
	s := sorted{made: true, all: make([]member.Member, 0, len(d.members))}
	for _, e := range d.members {
		s.all = append(s.all, e.Member)
	}
	slices.SortFunc(s.all, func(a, b member.Member) int { return cmp.Compare(a.Daemon, b.Daemon) })
	s.reachable = make([]member.Member, 0, len(s.all))
	for _, m := range s.all {
		switch e := d.members[m.Daemon]; {
		case e.Gone:
		case e.unreachable:
			s.unreachable = append(s.unreachable, m)
		default:
			s.reachable = append(s.reachable, m)
		}
	}
	return s
}
