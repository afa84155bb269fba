package permit

import (
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/floor"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// notSteward is the reason in the answer of a daemon that may not grant permits.
const notSteward floor.Reason = "steward"

// takeoverWait is how long a new steward grants nothing: until the permits of its
// predecessor have expired.
const takeoverWait = floor.Lease + floor.ClockMargin

// Handle answers a claim or release that a daemon sent to the steward.
func (p *Manager) Handle(from ids.Daemon, m message.Message) message.Message {
	switch m := m.(type) {
	case message.Permit:
		return p.grant(from, m)
	case message.Release:
		p.release(from, m)
		return message.Released{}
	default:
		return message.Permitted{Reason: string(notSteward)}
	}
}

// Steward returns the steward of a service under the roster, or false when the
// roster is empty.
func Steward(r roster.Roster, id ids.Service) (ids.Daemon, bool) {
	top := rendezvous.Top("steward "+string(id), r.Daemons(), 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}

// observe records the roster in force while this daemon has a read lease.
func (p *Manager) observe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease.Confirmed() {
		p.history.Observe(p.Common.Clock.Now(), p.lease.Roster())
	}
}

// mayGrant reports whether this daemon has been the steward of the service for so
// long that all permits of a predecessor have expired. The caller holds p.mu.
func (p *Manager) mayGrant(now units.Instant, id ids.Service) bool {
	if !p.lease.Confirmed() {
		return false
	}
	p.history.Observe(now, p.lease.Roster())
	self, incarnation := p.lease.Self()
	since, ok := p.history.HeldSince(func(r roster.Roster) bool {
		steward, ok := Steward(r, id)
		entry, _ := r.Find(self)
		return ok && steward == self && entry.Incarnation == incarnation
	})
	return ok && now.Sub(since) >= takeoverWait
}

// ledger returns the ledger of a service and creates it if it is missing. The caller
// holds p.mu.
func (p *Manager) ledger(id ids.Service) *floor.Ledger {
	if p.ledgers == nil {
		p.ledgers = map[ids.Service]*floor.Ledger{}
	}
	l, ok := p.ledgers[id]
	if !ok {
		l = &floor.Ledger{}
		p.ledgers[id] = l
	}
	return l
}

func (p *Manager) grant(from ids.Daemon, m message.Permit) message.Permitted {
	capacity, ok := p.capacity(m.Service)
	if !ok {
		return message.Permitted{Reason: string(notSteward)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Common.Clock.Now()
	if !p.mayGrant(now, m.Service) {
		return message.Permitted{Reason: string(notSteward)}
	}
	return p.decide(now, p.ledger(m.Service), from, m, capacity)
}

func (p *Manager) decide(now units.Instant, ledger *floor.Ledger, from ids.Daemon, m message.Permit, capacity floor.Capacity) message.Permitted {
	claim := floor.Claim{
		Holder:  floor.Holder{Daemon: from, Incarnation: m.Incarnation, Target: m.Target},
		Number:  m.Number,
		Slots:   m.Slots,
		Badness: m.Badness,
	}
	switch d := ledger.Decide(now, claim, capacity).(type) {
	case floor.Granted:
		p.Common.Invariant.Check(ledger.EjectedSlots(now) <= capacity.Headroom(), "ejection below floor", zap.String("service", string(m.Service)))
		return message.Permitted{Granted: true}
	case floor.Refused:
		return message.Permitted{Reason: string(d.Reason)}
	}
	return message.Permitted{Reason: string(notSteward)}
}

func (p *Manager) release(from ids.Daemon, m message.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holder := floor.Holder{Daemon: from, Incarnation: m.Incarnation, Target: m.Target}
	p.ledger(m.Service).Release(p.Common.Clock.Now(), holder, m.Number)
}

// capacity sums up the slots of the targets of a service that are not leaving, as
// the directory has them now. Targets on VMs that are not reachable count for the
// floor but not as healthy. It is false when the service is unknown.
func (p *Manager) capacity(id ids.Service) (floor.Capacity, bool) {
	var set settings.Service
	var ok bool
	p.tail.View(func(s *replay.State) { set, ok = s.Service(id) })
	if !ok {
		return floor.Capacity{}, false
	}
	c := floor.Capacity{Floor: set.Floor}
	for _, m := range p.directory.Members() {
		if m.Leaving || m.Gone {
			continue
		}
		slots := slotsOf(m, id)
		c.Announced += slots
		if !p.directory.IsUnreachable(m.Daemon) {
			c.Healthy += slots
		}
	}
	return c, true
}

func slotsOf(m member.Member, id ids.Service) units.Slots {
	var sum units.Slots
	for _, t := range m.Targets {
		if t.Service == id && !t.Leaving {
			sum += t.Slots
		}
	}
	return sum
}
