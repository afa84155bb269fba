package quota

import (
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
)

// rankedCount is how many daemons are stored for each account. More than that are rarely lost
// at once; in that case all daemons are examined.
const rankedCount = 4

// ranking caches the daemons of highest weight for each account, because examining a whole
// fleet for each request takes too long. The zero value works.
type ranking struct {
	mu         sync.Mutex
	membership uint64
	tops       map[ids.Account][]ids.Address
}

// top returns the daemons of highest weight for the account, highest first. If there are fewer
// than rankedCount, it returns all of them.
func (k *ranking) top(r *registry.Registry, id ids.Account) []ids.Address {
	// The number is read before the list, so that a list is never cached under a newer number.
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
