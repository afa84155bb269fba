package directory

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// goneKept is how long a daemon that left is remembered.
	goneKept = 10 * time.Minute
	// lostKept is longer than regions lose each other.
	lostKept = 2 * time.Hour
	// forgottenKept is how long old descriptions of a forgotten daemon are refused.
	forgottenKept = time.Hour
)

// tombstone keeps the age of a forgotten daemon, so that other daemons' old
// descriptions do not bring it back.
type tombstone struct {
	age member.Revision
	at  units.Instant
}

// ForgetOld forgets the daemons that have been gone or lost for long.
func (d *Directory) ForgetOld(now units.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, g := range d.forgotten {
		if now.Sub(g.at) > forgottenKept {
			delete(d.forgotten, id)
		}
	}
	for id, k := range d.members {
		if !over(k, now) {
			continue
		}
		if d.forgotten == nil {
			d.forgotten = map[ids.Daemon]tombstone{}
		}
		d.forgotten[id] = tombstone{age: k.Revision(), at: now}
		d.unindex(k)
		d.sum(k.Member)
		d.changed(k.reachable())
		delete(d.members, id)
	}
}

func over(k known, now units.Instant) bool {
	if k.Gone {
		return now.Sub(k.seen) > goneKept
	}
	return k.lost && now.Sub(k.lostSince) > lostKept
}

// Forgotten reports whether the description is one that was forgotten.
func (d *Directory) Forgotten(a member.Revision) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.forgotten[a.Daemon]
	return ok && !g.age.Precedes(a)
}
