package directory

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// goneKept is how long a daemon that left is remembered.
	goneRetention = 10 * time.Minute
	// lostKept is longer than regions lose each other.
	unreachableRetention = 2 * time.Hour
	// forgottenKept is how long old descriptions of a forgotten daemon are refused.
	tombstoneRetention = time.Hour
)

// tombstone keeps the age of a forgotten daemon, so that other daemons' old
// descriptions do not bring it back.
type tombstone struct {
	revision  member.Revision
	evictedAt units.Instant
}

// ForgetOld forgets the daemons that have been gone or lost for long.
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

func expired(k entry, now units.Instant) bool {
	if k.Gone {
		return now.Sub(k.updatedAt) > goneRetention
	}
	return k.unreachable && now.Sub(k.unreachableSince) > unreachableRetention
}

// Forgotten reports whether the description is one that was forgotten.
func (d *Directory) IsTombstoned(a member.Revision) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.tombstones[a.Daemon]
	return ok && !g.revision.Precedes(a)
}
