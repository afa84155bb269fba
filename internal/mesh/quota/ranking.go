package quota

import (
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
)

// rankedCount is how many daemons are kept for each account. More than that are rarely lost at
// once; then all daemons are looked at.
const rankedCount = 4

// ranking keeps, for each account, the daemons of highest weight, because looking at a
// whole fleet for each request takes too long. The zero value works.
type ranking struct {
	mu         sync.Mutex
	membership uint64
	tops       map[ids.Account][]ids.Address
}

// top returns the daemons of highest weight for the account, highest first: all of them if
// they are fewer than ranked.
func (k *ranking) top(r *registry.Registry, id ids.Account) []ids.Address {
	// The number is read before the list, so that a list is never kept under a newer one.
	membership := r.Membership()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tops == nil || k.membership != membership {
		k.membership, k.tops = membership, map[ids.Account][]ids.Address{}
	}
	top, ok := k.tops[id]
	if ok {
		return top
	}
	all := r.All()
	daemons := make([]ids.Daemon, 0, len(all))
	for _, rec := range all {
		daemons = append(daemons, ids.Daemon(rec.Address))
	}
	for _, d := range rendezvous.Top(string(id), daemons, rankedCount) {
		top = append(top, ids.Address(d))
	}
	k.tops[id] = top
	return top
}
