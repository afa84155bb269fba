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
	// buriedKept is how long old descriptions of a forgotten daemon are refused.
	buriedKept = time.Hour
)

// grave keeps the age of a forgotten daemon, so that other daemons' old
// descriptions do not bring it back.
type grave struct {
	age member.Age
	at  units.Instant
}

// Bury forgets the daemons that have been gone or lost for long.
func (d *Directory) Bury(now units.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, g := range d.buried {
		if now.Sub(g.at) > buriedKept {
			delete(d.buried, id)
		}
	}
	for id, k := range d.members {
		if !over(k, now) {
			continue
		}
		if d.buried == nil {
			d.buried = map[ids.Daemon]grave{}
		}
		d.buried[id] = grave{age: k.Age(), at: now}
		d.unindex(k)
		delete(d.members, id)
	}
}

func over(k known, now units.Instant) bool {
	if k.Gone {
		return now.Sub(k.seen) > goneKept
	}
	return k.lost && now.Sub(k.lostSince) > lostKept
}

// Buried reports whether the description is one that was forgotten.
func (d *Directory) Buried(a member.Age) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, ok := d.buried[a.Daemon]
	return ok && !g.age.Precedes(a)
}
