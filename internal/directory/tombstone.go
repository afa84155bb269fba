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
	for id, t := range d.tombstones {
		if now.Sub(t.evictedAt) > tombstoneRetention {
			delete(d.tombstones, id)
		}
	}
	for id, e := range d.members {
		if !expired(e, now) {
			continue
		}
		if d.tombstones == nil {
			d.tombstones = map[ids.Daemon]tombstone{}
		}
		d.tombstones[id] = tombstone{revision: e.Revision(), evictedAt: now}
		d.unindex(e)
		d.toggleDigest(e.Member)
		d.countChange(e.reachable())
		delete(d.members, id)
	}
}

// expired reports whether a daemon is past its retention.
func expired(e entry, now units.Instant) bool {
	if e.Gone {
		return now.Sub(e.updatedAt) > goneRetention
	}
	return e.unreachable && now.Sub(e.unreachableSince) > unreachableRetention
}

// IsTombstoned reports whether the revision, or a newer one of the same daemon, was
// evicted.
func (d *Directory) IsTombstoned(a member.Revision) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t, ok := d.tombstones[a.Daemon]
	return ok && !t.revision.Precedes(a)
}
