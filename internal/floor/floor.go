// Package floor keeps the steward's ledger of permits to eject targets of a service.
// It limits the ejected slots to the healthy capacity above the floor, so that
// ejection never takes a service's healthy capacity below its floor.
//
// # Usage
//
//	var f floor.Ledger
//	switch d := f.Decide(now, claim, capacity).(type) {
//	case floor.Granted:
//	case floor.Refused:
//	}
//
// A permit is a lease on the slots of one target. The steward keeps it for longer
// than the holder may use it, so that the holder's lease has expired, by any clock,
// before its slots are granted to another.
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
	// Lease is how long a holder may use a permit, from when it sent the claim.
	Lease = 3 * time.Second
	// ClockMargin allows for clocks that run at different rates.
	ClockMargin = 500 * time.Millisecond
	// preemptionFactor is the factor by which the badness of a pending claim must
	// exceed that of an ejected target to preempt its permit.
	preemptionFactor = 1.5
	// pendingLifetime is how long a refused claim can preempt the permits of others.
	pendingLifetime = 2 * time.Second
)

// Holder is one target of one incarnation of a daemon.
type Holder struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
	Target      ids.Target
}

// Claim requests or renews a permit.
type Claim struct {
	Holder Holder
	// Number orders the claims and releases of one holder.
	Number uint64
	Slots  units.Slots
	// Badness is the evidence of one outcome against the target.
	Badness float64
}

// Capacity is the capacity of a service as the steward knows it.
type Capacity struct {
	// Announced is the sum of the slots of all targets that are not leaving.
	Announced units.Slots
	// Healthy is the part of Announced on VMs that are reachable.
	Healthy units.Slots
	// Floor is the share of Announced that must stay in use.
	Floor units.Percent
}

// Headroom returns the slots that may be ejected at the same time.
func (c Capacity) Headroom() units.Slots {
	kept := units.Slots(math.Ceil(float64(c.Announced) * float64(c.Floor) / 100))
	return max(c.Healthy-kept, 0)
}

// Decision is the answer to a claim. The interface is sealed.
type Decision interface{ isDecision() }

// Granted allows the holder to eject its target for Lease from when it sent the claim.
type Granted struct{}

// Refused means that the target must stay in service or return to it.
type Refused struct{ Reason Reason }

func (Granted) isDecision() {}
func (Refused) isDecision() {}

// Reason is why a claim was refused.
type Reason string

// The reasons.
const (
	// AtFloor means that the service is at its floor.
	AtFloor Reason = "full"
	// Preempted means that a worse target takes the permit.
	Preempted Reason = "worse"
	// Stale means that a later message of the holder has already arrived.
	Stale Reason = "stale"
)

// lease is a permit that may be in use, a pending claim or a release.
type lease struct {
	number    uint64
	slots     units.Slots
	badness   float64
	expiresAt units.Instant
}

// Ledger holds the permits of one service. The zero value has granted none. It is not
// safe for concurrent use.
type Ledger struct {
	leases map[Holder]lease
	// pending holds the claims that were refused for lack of headroom.
	pending map[Holder]lease
	// released holds the number of each holder's last release.
	released map[Holder]lease
}

// EjectedSlots returns the slots of all permits that may be in use. It drops those
// that have expired.
func (l *Ledger) EjectedSlots(now units.Instant) units.Slots {
	l.expire(now)
	var sum units.Slots
	for _, e := range l.leases {
		sum += e.slots
	}
	return sum
}

// Decide grants or refuses a claim. It never grants one that would raise the ejected
// slots above the headroom.
func (l *Ledger) Decide(now units.Instant, c Claim, capacity Capacity) Decision {
	out := l.EjectedSlots(now)
	held, renewal := l.leases[c.Holder]
	if c.Number <= l.released[c.Holder].number || (renewal && c.Number < held.number) {
		return Refused{Reason: Stale}
	}
	slots := max(c.Slots, held.slots)
	if out-held.slots+slots > capacity.Headroom() {
		l.addPending(now, c)
		return Refused{Reason: AtFloor}
	}
	if renewal && l.preempted(c, capacity.Headroom()-out) {
		return Refused{Reason: Preempted}
	}
	l.store(&l.leases, c.Holder, lease{number: c.Number, slots: slots, badness: c.Badness, expiresAt: now.Add(Lease + ClockMargin)})
	delete(l.pending, c.Holder)
	return Granted{}
}

// Release ends a permit that its holder no longer uses. A release that arrives after
// a later claim doesn't end the permit.
func (l *Ledger) Release(now units.Instant, h Holder, number uint64) {
	l.expire(now)
	if held, ok := l.leases[h]; ok && held.number <= number {
		delete(l.leases, h)
	}
	delete(l.pending, h)
	if number > l.released[h].number {
		l.store(&l.released, h, lease{number: number, expiresAt: now.Add(Lease + ClockMargin)})
	}
}

func (l *Ledger) store(m *map[Holder]lease, h Holder, e lease) {
	if *m == nil {
		*m = map[Holder]lease{}
	}
	(*m)[h] = e
}

// addPending records a claim without headroom, so that it can preempt the permit of a
// less bad target.
func (l *Ledger) addPending(now units.Instant, c Claim) {
	if _, held := l.leases[c.Holder]; held {
		return
	}
	l.store(&l.pending, c.Holder, lease{number: c.Number, slots: c.Slots, badness: c.Badness, expiresAt: now.Add(pendingLifetime)})
}

// preempted reports whether the claim's target is the least bad of those ejected, and
// the claim of a target worse by preemptionFactor is pending that does not fit into
// the free headroom.
func (l *Ledger) preempted(c Claim, free units.Slots) bool {
	if c.Holder != l.leastBad() {
		return false
	}
	for _, w := range l.pending {
		if w.slots > free && w.badness > preemptionFactor*c.Badness {
			return true
		}
	}
	return false
}

func (l *Ledger) leastBad() Holder {
	holders := slices.Collect(maps.Keys(l.leases))
	return slices.MinFunc(holders, func(a, b Holder) int {
		return cmp.Or(
			cmp.Compare(l.leases[a].badness, l.leases[b].badness),
			cmp.Compare(a.Daemon, b.Daemon),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Target, b.Target),
		)
	})
}

// expire drops expired permits, pending claims and releases.
func (l *Ledger) expire(now units.Instant) {
	for _, m := range []map[Holder]lease{l.leases, l.pending, l.released} {
		maps.DeleteFunc(m, func(_ Holder, e lease) bool { return !now.Before(e.expiresAt) })
	}
}
