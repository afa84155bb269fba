// Package permit obtains permits to eject targets from the steward of a service
// and, on the steward itself, grants them.
//
// # Usage
//
//	p, err := kernel.Find[*permit.Manager](f, "permit")
//	switch a := p.Acquire(ctx, claim).(type) {
//	case permit.Held: // until a.Until
//	case permit.Denied:
//	case permit.Unavailable:
//	}
//	p.Release(ctx, claim)
//
// The steward of a service is the daemon that ranks first by rendezvous hashing
// over the roster in force. Messages are sent only while a target fails.
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
	// callTimeout bounds one call of the steward.
	callTimeout = 500 * time.Millisecond
	// observePeriod is how often the roster is observed while this daemon has a
	// read lease.
	observePeriod = 250 * time.Millisecond
	// maxObservationGap is the longest time between two observations in which no
	// other steward can have granted a permit.
	maxObservationGap = time.Second
	// maxRosters bounds the roster history.
	maxRosters = 64
)

// Manager requests permits from stewards, and is the steward of the services that
// the roster assigns to this daemon. Its methods may be called concurrently.
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

// Claim names a target to eject and the capacity that this takes.
type Claim struct {
	Service ids.Service
	Target  ids.Target
	Slots   units.Slots
	// Badness is the evidence of one outcome against the target; the steward
	// prefers the claims of worse targets.
	Badness float64
}

// Answer is the result of a claim. The interface is sealed.
type Answer interface{ isAnswer() }

// Held allows the target to be ejected until the instant, by this daemon's clock.
type Held struct{ Until units.Instant }

// Denied means that the steward refused the claim.
type Denied struct{ Reason floor.Reason }

// Unavailable means that no steward decided: none is known, it did not answer, or
// it may not grant permits yet.
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

// run observes the roster once per observePeriod until ctx ends.
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

// Acquire claims or renews a permit and waits for the steward's answer. The permit
// lasts for floor.Lease from before the claim was sent.
func (p *Manager) Acquire(ctx context.Context, c Claim) Answer {
	to, ok := Steward(p.lease.Roster(), c.Service)
	if !ok {
		return Unavailable{}
	}
	sentAt := p.Common.Clock.Now()
	reply, err := p.call(ctx, to, p.request(c))
	if err != nil {
		return Unavailable{}
	}
	answer, ok := reply.(message.Permitted)
	switch {
	case !ok:
		return Unavailable{}
	case answer.Granted:
		return Held{Until: sentAt.Add(floor.Lease)}
	case answer.Reason == string(notSteward):
		return Unavailable{}
	}
	metric.PermitRefusals.Counter(p.Common.Metrics).Inc(1)
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

// nextNumber returns the next number of this daemon's claims and releases. By it the
// steward tells which of two messages was sent later.
func (p *Manager) nextNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// Release sends the steward the release of a permit. If the message is lost the
// permit expires instead.
func (p *Manager) Release(ctx context.Context, c Claim) {
	to, ok := Steward(p.lease.Roster(), c.Service)
	if !ok {
		return
	}
	_, incarnation := p.lease.Self()
	m := message.Release{Service: c.Service, Target: c.Target, Incarnation: incarnation, Number: p.nextNumber()}
	_, _ = p.call(ctx, to, m)
}

// call sends a message to the steward, which may be this daemon, and waits for the
// answer.
func (p *Manager) call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	self, _ := p.lease.Self()
	if to == self {
		return p.Handle(self, m), nil
	}
	ctx, cancel := p.Common.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.peers.Call(ctx, to, m)
}
