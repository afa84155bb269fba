package balancer

import (
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// subsetSize is the number of targets of a service that a daemon uses. At least
	// localSize of them are in its own data centre if there are as many.
	subsetSize = 12
	localSize  = 8
)

// subset is the part of a service that this daemon uses, as indexes into list.
type subset struct {
	list   []directory.Candidate
	local  []int
	remote []int
	// reserve holds all other targets, for when the subset is full or failing.
	reserve []int
	usedAt  units.Instant
}

func (s *subset) all() []int {
	return append(append(append([]int(nil), s.local...), s.remote...), s.reserve...)
}

// subset returns this daemon's subset of the list and caches it until the list changes.
func (b *Balancer) subset(now units.Instant, id ids.Service, list []directory.Candidate) *subset {
	if s, ok := b.subsets[id]; ok && sameSlice(s.list, list) {
		s.usedAt = now
		return s
	}
	if b.subsets == nil {
		b.subsets = map[ids.Service]*subset{}
	}
	s := b.split(list)
	s.usedAt = now
	b.subsets[id] = s
	return s
}

// sameSlice reports whether two lists are the same slice. That detects every change,
// because the directory makes a new slice for each.
func sameSlice(a, b []directory.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// split computes the subset: targets in the order of their daemons' rendezvous weights
// for this daemon. The weights do not depend on the service, so the subsets of many
// services are on the same daemons and share their connections.
func (b *Balancer) split(list []directory.Candidate) *subset {
	s := &subset{list: list}
	at := make(map[ids.Daemon][]int, len(list))
	daemons := make([]ids.Daemon, 0, len(list))
	for i, t := range list {
		if at[t.Daemon] == nil {
			daemons = append(daemons, t.Daemon)
		}
		at[t.Daemon] = append(at[t.Daemon], i)
	}
	var near, far []int
	for _, d := range rendezvous.Top(string(b.Self), daemons, len(daemons)) {
		if list[at[d][0]].Centre == b.Centre {
			near = append(near, at[d]...)
		} else {
			far = append(far, at[d]...)
		}
	}
	nears := min(len(near), max(localSize, subsetSize-len(far)))
	fars := min(len(far), subsetSize-nears)
	s.local, s.remote = near[:nears], far[:fars]
	s.reserve = append(append([]int(nil), near[nears:]...), far[fars:]...)
	return s
}
