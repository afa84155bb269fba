// Package permit asks for leave to eject a target and, on the steward of a
// service, grants it.
//
// # Usage
//
//	p, err := kernel.Find[*permit.Permit](f, "permit")
//	switch a := p.Ask(ctx, claim).(type) {
//	case permit.Held: // until a.Until
//	case permit.Denied:
//	}
//	p.Release(ctx, claim)
//
// The steward of a service is the first daemon by rendezvous over the roster in
// force. There is traffic only while a target fails.
package permit

import (
	"context"
	"errors"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/floor"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/rosterhistory"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// callTimeout bounds one question to the steward.
	callTimeout = 500 * time.Millisecond
	// observePeriod is how often a daemon looks whether it is still confirmed.
	observePeriod = 250 * time.Millisecond
	// maxObservationGap is the longest time without an observation in which no other steward
	// can have granted anything.
	maxObservationGap = time.Second
	// maxRosters bounds the rosters that are remembered.
	maxRosters = 64
)

// Manager speaks to stewards and is one itself.
type Manager struct {
	Common *common.Common

	tail      *tail.Tail
	directory *directory.Directory
	peers     peer.Caller
	lease     leasecheck.Checker

	mu         sync.Mutex
	lastNumber uint64
	history    rosterhistory.History
	ledgers    map[ids.Service]*floor.Ledger
}

// Claim names a target and how bad it is.
type Claim struct {
	Service ids.Service
	Target  ids.Target
	Slots   units.Slots
	Badness float64
}

// Answer is what came of a claim. The interface is sealed.
type Answer interface{ isAnswer() }

// Held lets the target be out until the instant, by this daemon's clock.
type Held struct{ Until units.Instant }

// Denied says that the steward refused.
type Denied struct{ Reason floor.Reason }

// Unavailable says that no steward could decide.
type Unavailable struct{}

func (Held) isAnswer()        {}
func (Denied) isAnswer()      {}
func (Unavailable) isAnswer() {}

// Name implements service.Service.
func (p *Manager) Name() service.Name { return "permit" }

// Needs implements service.Service.
func (p *Manager) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "dial", "confirm"}
}

// Start implements service.Service.
func (p *Manager) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "tail", &p.tail),
		kernel.Bind(f, "directory", &p.directory),
		kernel.Bind(f, "dial", &p.peers),
		kernel.Bind(f, "confirm", &p.lease),
	); err != nil {
		return err
	}
	p.history = rosterhistory.History{MaxGap: maxObservationGap, Limit: maxRosters}
	go p.run(ctx)
	return nil
}

// Stop implements service.Service.
func (p *Manager) Stop(context.Context) error { return nil }

// run observes whether this daemon is confirmed, and the roster.
func (p *Manager) run(ctx context.Context) {
	sub := p.Common.Clock.Every(observePeriod)
	defer sub.Stop()
	for {
		select {
		case <-sub.C:
			p.observe()
		case <-ctx.Done():
			return
		}
	}
}

// Acquire claims a permit or renews it.
func (p *Manager) Acquire(ctx context.Context, c Claim) Answer {
	to, ok := Steward(p.lease.Roster(), c.Service)
	if !ok {
		return Unavailable{}
	}
	asked := p.Common.Clock.Now()
	reply, err := p.call(ctx, to, p.request(c))
	if err != nil {
		return Unavailable{}
	}
	answer, ok := reply.(message.Permitted)
	switch {
	case !ok:
		return Unavailable{}
	case answer.Granted:
		return Held{Until: asked.Add(floor.Lease)}
	case answer.Reason == string(notSteward):
		return Unavailable{}
	}
	metric.Refusals.Counter(p.Common.Metrics).Inc(1)
	return Denied{Reason: floor.Reason(answer.Reason)}
}

func (p *Manager) request(c Claim) message.Permit {
	_, incarnation := p.lease.Self()
	return message.Permit{
		Service:     c.Service,
		Target:      c.Target,
		Incarnation: incarnation,
		Number:      p.nextNumber(),
		Slots:       c.Slots,
		Badness:     c.Badness,
	}
}

// nextNumber numbers the claims and releases of this daemon.
func (p *Manager) nextNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// Release gives a permit back. When the message is lost the lease lapses instead.
func (p *Manager) Release(ctx context.Context, c Claim) {
	to, ok := Steward(p.lease.Roster(), c.Service)
	if !ok {
		return
	}
	_, incarnation := p.lease.Self()
	m := message.Release{Service: c.Service, Target: c.Target, Incarnation: incarnation, Number: p.nextNumber()}
	_, _ = p.call(ctx, to, m)
}

// call reaches the steward, which may be this daemon.
func (p *Manager) call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	self, _ := p.lease.Self()
	if to == self {
		return p.Handle(self, m), nil
	}
	ctx, cancel := p.Common.Clock.Within(ctx, callTimeout)
	defer cancel()
	return p.peers.Call(ctx, to, m)
}
