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
	// ClockMargin covers clocks that run apart.
	ClockMargin = 500 * time.Millisecond
	// preemptionFactor is the factor by which a target must be worse than one that is out
	// to take its place.
	preemptionFactor = 1.5
	// pendingLifetime is how long a refused claim presses on the permits of others.
	pendingLifetime = 2 * time.Second
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

// Headroom returns the slots that may be out at once.
func (c Capacity) Headroom() units.Slots {
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
	// AtFloor means that the service is at its floor.
	AtFloor Reason = "full"
	// Preempted means that a target that fails worse needs the permit.
	Preempted Reason = "worse"
	// Stale means that a later message of the holder has already been heard.
	Stale Reason = "stale"
)

// lease is a permit that may be in use.
type lease struct {
	number    uint64
	slots     units.Slots
	badness   float64
	expiresAt units.Instant
}

// Ledger is the ledger of one service. The zero value has granted nothing.
type Ledger struct {
	leases map[Holder]lease
	// pending are claims that were refused for lack of room.
	pending map[Holder]lease
	// released holds the number of each holder's last release.
	released map[Holder]lease
}

// EjectedSlots returns the slots of all permits that may be in use.
func (f *Ledger) EjectedSlots(now units.Instant) units.Slots {
	f.expire(now)
	var sum units.Slots
	for _, l := range f.leases {
		sum += l.slots
	}
	return sum
}

// Decide decides on a claim. Granting one never raises the slots that are out above
// the room.
func (f *Ledger) Decide(now units.Instant, c Claim, capacity Capacity) Decision {
	out := f.EjectedSlots(now)
	held, renewal := f.leases[c.Holder]
	if c.Number <= f.released[c.Holder].number || (renewal && c.Number < held.number) {
		return Refused{Reason: Stale}
	}
	slots := max(c.Slots, held.slots)
	if out-held.slots+slots > capacity.Headroom() {
		f.addPending(now, c)
		return Refused{Reason: AtFloor}
	}
	if renewal && f.preempted(c, capacity.Headroom()-out) {
		return Refused{Reason: Preempted}
	}
	f.store(&f.leases, c.Holder, lease{number: c.Number, slots: slots, badness: c.Badness, expiresAt: now.Add(Lease + ClockMargin)})
	delete(f.pending, c.Holder)
	return Granted{}
}

// Release ends a permit that its holder no longer uses. A release that arrives
// after a later claim changes nothing.
func (f *Ledger) Release(now units.Instant, h Holder, number uint64) {
	f.expire(now)
	if held, ok := f.leases[h]; ok && held.number <= number {
		delete(f.leases, h)
	}
	delete(f.pending, h)
	if number > f.released[h].number {
		f.store(&f.released, h, lease{number: number, expiresAt: now.Add(Lease + ClockMargin)})
	}
}

func (f *Ledger) store(m *map[Holder]lease, h Holder, l lease) {
	if *m == nil {
		*m = map[Holder]lease{}
	}
	(*m)[h] = l
}

// addPending notes a claim without room, so that a less bad target makes room.
func (f *Ledger) addPending(now units.Instant, c Claim) {
	if _, held := f.leases[c.Holder]; held {
		return
	}
	f.store(&f.pending, c.Holder, lease{number: c.Number, slots: c.Slots, badness: c.Badness, expiresAt: now.Add(pendingLifetime)})
}

// preempted reports whether the claim's target is the least bad one out and a much
// worse one waits that the free room doesn't hold.
func (f *Ledger) preempted(c Claim, free units.Slots) bool {
	if c.Holder != f.leastBad() {
		return false
	}
	for _, w := range f.pending {
		if w.slots > free && w.badness > preemptionFactor*c.Badness {
			return true
		}
	}
	return false
}

func (f *Ledger) leastBad() Holder {
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

// expire drops what is over.
func (f *Ledger) expire(now units.Instant) {
	for _, m := range []map[Holder]lease{f.leases, f.pending, f.released} {
		maps.DeleteFunc(m, func(_ Holder, l lease) bool { return !now.Before(l.expiresAt) })
	}
}
