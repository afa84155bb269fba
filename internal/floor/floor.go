// Package floor numbers the permits to eject: the capacity of a service over its
// floor. It is the steward's side of the promise that ejection never pushes a
// service's healthy capacity below its floor.
//
// # Usage
//
//	var f floor.Floor
//	switch d := f.Ask(now, claim, capacity).(type) {
//	case floor.Granted:
//	case floor.Refused:
//	}
//
// A permit is a lease on the slots of one target. The steward keeps it for longer
// than the holder may use it, so that the holder's lease has lapsed, by any clock,
// before the room is given to another.
package floor

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// Lease is how long a holder uses a permit, from when it asked.
	Lease = 3 * time.Second
	// Margin covers clocks that run apart.
	Margin = 500 * time.Millisecond
	// muchWorse is the factor by which a target must be worse than one that is out
	// to take its place.
	muchWorse = 1.5
	// wantLasts is how long a refused claim presses on the permits of others.
	wantLasts = 2 * time.Second
)

// Holder is one target of one run of a daemon.
type Holder struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
	Target      ids.Target
}

// Claim asks for a permit or renews one.
type Claim struct {
	Holder Holder
	// Number orders the claims and releases of one holder.
	Number uint64
	Slots  units.Slots
	// Badness is the evidence against the target.
	Badness float64
}

// Capacity is what a service has as the steward knows it.
type Capacity struct {
	// Announced is the sum of the slots of all targets that don't leave.
	Announced units.Slots
	// Healthy is the part of Announced on VMs that can be reached.
	Healthy units.Slots
	// Floor is the share that must stay in use.
	Floor units.Percent
}

// Room returns the slots that may be out at once.
func (c Capacity) Room() units.Slots {
	kept := units.Slots(math.Ceil(float64(c.Announced) * float64(c.Floor) / 100))
	return max(c.Healthy-kept, 0)
}

// Decision is the answer to a claim. The interface is sealed.
type Decision interface{ isDecision() }

// Granted lets the holder keep its target out for Lease from when it asked.
type Granted struct{}

// Refused says that the target must stay in service or return to it.
type Refused struct{ Reason Reason }

func (Granted) isDecision() {}
func (Refused) isDecision() {}

// Reason says why a claim was refused.
type Reason string

// The reasons.
const (
	// Full means that the service is at its floor.
	Full Reason = "full"
	// Worse means that a target that fails worse needs the permit.
	Worse Reason = "worse"
	// Stale means that a later message of the holder has already been heard.
	Stale Reason = "stale"
)

// lease is a permit that may be in use.
type lease struct {
	number  uint64
	slots   units.Slots
	badness float64
	until   units.Instant
}

// Floor is the ledger of one service. The zero value has granted nothing.
type Floor struct {
	leases map[Holder]lease
	// wants are claims that were refused for lack of room.
	wants map[Holder]lease
	// released holds the number of each holder's last release.
	released map[Holder]lease
}

// Out returns the slots of all permits that may be in use.
func (f *Floor) Out(now units.Instant) units.Slots {
	f.lapse(now)
	var sum units.Slots
	for _, l := range f.leases {
		sum += l.slots
	}
	return sum
}

// Ask decides on a claim. Granting one never raises the slots that are out above
// the room.
func (f *Floor) Ask(now units.Instant, c Claim, capacity Capacity) Decision {
	out := f.Out(now)
	held, renewal := f.leases[c.Holder]
	if c.Number <= f.released[c.Holder].number || (renewal && c.Number < held.number) {
		return Refused{Reason: Stale}
	}
	slots := max(c.Slots, held.slots)
	if out-held.slots+slots > capacity.Room() {
		f.want(now, c)
		return Refused{Reason: Full}
	}
	if renewal && f.pressed(c, capacity.Room()-out) {
		return Refused{Reason: Worse}
	}
	f.put(&f.leases, c.Holder, lease{number: c.Number, slots: slots, badness: c.Badness, until: now.Add(Lease + Margin)})
	delete(f.wants, c.Holder)
	return Granted{}
}

// Release ends a permit that its holder no longer uses. A release that arrives
// after a later claim changes nothing.
func (f *Floor) Release(now units.Instant, h Holder, number uint64) {
	f.lapse(now)
	if held, ok := f.leases[h]; ok && held.number <= number {
		delete(f.leases, h)
	}
	delete(f.wants, h)
	if number > f.released[h].number {
		f.put(&f.released, h, lease{number: number, until: now.Add(Lease + Margin)})
	}
}

func (f *Floor) put(m *map[Holder]lease, h Holder, l lease) {
	if *m == nil {
		*m = map[Holder]lease{}
	}
	(*m)[h] = l
}

// want notes a claim without room, so that a less bad target makes room.
func (f *Floor) want(now units.Instant, c Claim) {
	if _, held := f.leases[c.Holder]; held {
		return
	}
	f.put(&f.wants, c.Holder, lease{number: c.Number, slots: c.Slots, badness: c.Badness, until: now.Add(wantLasts)})
}

// pressed reports whether the claim's target is the least bad one out and a much
// worse one waits that the free room doesn't hold.
func (f *Floor) pressed(c Claim, free units.Slots) bool {
	if c.Holder != f.leastBad() {
		return false
	}
	for _, w := range f.wants {
		if w.slots > free && w.badness > muchWorse*c.Badness {
			return true
		}
	}
	return false
}

func (f *Floor) leastBad() Holder {
	holders := slices.Collect(maps.Keys(f.leases))
	return slices.MinFunc(holders, func(a, b Holder) int {
		return cmp.Or(
			cmp.Compare(f.leases[a].badness, f.leases[b].badness),
			cmp.Compare(a.Daemon, b.Daemon),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Target, b.Target),
		)
	})
}

// lapse drops what is over.
func (f *Floor) lapse(now units.Instant) {
	for _, m := range []map[Holder]lease{f.leases, f.wants, f.released} {
		maps.DeleteFunc(m, func(_ Holder, l lease) bool { return !now.Before(l.until) })
	}
}
