package directory

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// goneRetention is how long a daemon that left is retained.
	goneRetention = 10 * time.Minute
	// unreachableRetention is how long an unreachable daemon is retained; it is longer
	// than regions are cut off from each other.
	unreachableRetention = 2 * time.Hour
	// tombstoneRetention is how long old descriptions of an evicted daemon are
	// refused.
	tombstoneRetention = time.Hour
)

// tombstone retains the revision of an evicted daemon, so that old descriptions
// from other daemons do not add it again.
type tombstone struct {
	revision  member.Revision
	evictedAt units.Instant
}

// EvictExpired evicts the daemons that have been gone or unreachable for their
// retention.
func (d *Directory) EvictExpired(now units.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, g := range d.tombstones {
		if now.Sub(g.evictedAt) > tombstoneRetention {
			delete(d.tombstones, id)
		}
	}
	for id, k := range d.members {
		if !expired(k, now) {
			continue
		}
		if d.tombstones == nil {
			d.tombstones = map[ids.Daemon]tombstone{}
		}
		d.tombstones[id] = tombstone{revision: k.Revision(), evictedAt: now}
		d.unindex(k)
		d.toggleDigest(k.Member)
		d.countChange(k.reachable())
		delete(d.members, id)
	}
}

// expired reports whether a daemon is past its retention.
func expired(k entry, now units.Instant) bool {
	if k.Gone {
		return now.Sub(k.updatedAt) > goneRetention
	}
	return k.unreachable && now.Sub(k.unreachableSince) > unreachableRetention
}

// IsTombstoned reports whether the revision, or a newer one of the same daemon, was
// evicted.
func (d *Directory) IsTombstoned(a member.Revision) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.tombstones[a.Daemon]
	return ok && !g.revision.Precedes(a)
}
