// Package confirm decides whether this daemon's state is recent enough to act on.
//
// # Usage
//
//	c, err := kernel.Find[leasecheck.Checker](f, "confirm")
//	if c.Confirmed() { ... }
//
// A read lease lasts for readlease.Duration, counted from when the query was sent,
// on this daemon's own monotonic clock; a daemon that was paused finds it expired.
// It is renewed by a read of the log, by a peer, or, while the log is unavailable,
// by a majority of the witnesses. docs/design/confirm.md gives the proof.
package confirm

import (
	"context"
	"errors"
	"sync"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/readlease"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Confirm holds and renews the read lease of this daemon's state.
type Confirm struct {
	Common *common.Common

	tail   *tail.Tail
	gossip *gossip.Gossip
	force  *force.Force
	peers  peer.Caller

	mu sync.Mutex
	// queried is the best lease that replies of peers and witnesses gave.
	queried readlease.Lease
}

// Name implements service.Service.
func (c *Confirm) Name() service.Name { return "confirm" }

// Needs implements service.Service.
func (c *Confirm) Needs() []service.Name {
	return []service.Name{"timer", "tail", "gossip", "force", "dial"}
}

// Start implements service.Service.
func (c *Confirm) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "tail", &c.tail),
		kernel.Bind(f, "gossip", &c.gossip),
		kernel.Bind(f, "force", &c.force),
		kernel.Bind(f, "dial", &c.peers),
	); err != nil {
		return err
	}
	go c.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context.
func (c *Confirm) Stop(context.Context) error { return nil }

// Confirmed implements leasecheck.Checker.
func (c *Confirm) Confirmed() bool {
	inForce := c.force.Newest()
	position, lease := c.lease()
	confirmed := lease.Covers(c.Common.Clock.Now(), position)
	c.Common.Invariant.Check(!confirmed || position >= inForce, "confirmed without a record that is in force")
	return confirmed
}

// Self implements leasecheck.Checker.
func (c *Confirm) Self() (ids.Daemon, ids.Incarnation) {
	own := c.gossip.LocalMember()
	return own.Daemon, own.Incarnation
}

// Roster implements leasecheck.Checker.
func (c *Confirm) Roster() roster.Roster { return c.force.Roster() }

// HandleLeaseQuery answers the question of another daemon.
func (c *Confirm) HandleLeaseQuery() message.LeaseStatus {
	own := c.gossip.LocalMember()
	inForce := c.force.Newest()
	position, lease := c.lease()
	now := c.Common.Clock.Now()
	return message.LeaseStatus{
		Incarnation: own.Incarnation,
		Seen:        position,
		Retired:     own.Leaving || own.Gone,
		Confirmed:   lease.Covers(now, position),
		LeaseOffset: lease.Offset,
		LeaseAge:    lease.Age(now),
		InForce:     inForce,
	}
}

// lease returns the offset of the state and the best lease for it.
func (c *Confirm) lease() (ids.Offset, readlease.Lease) {
	var position ids.Offset
	caughtUpAt, known := c.tail.LastCaughtUp()
	c.tail.View(func(s *replay.State) { position = s.Offset() })
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known {
		return position, c.queried
	}
	return position, readlease.Longer(c.queried, readlease.New(position, caughtUpAt), position)
}

// extend stores a lease if it lasts longer than the present one.
func (c *Confirm) extend(lease readlease.Lease) {
	position, _ := c.lease()
	now := c.Common.Clock.Now()
	c.Common.Invariant.Check(lease.Age(now) >= 0, "evidence from the future")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queried = readlease.Longer(c.queried, lease, position)
}

// currentLease returns the offset of the state, the best lease for it, and whether
// that lease is valid now.
func (c *Confirm) currentLease(now units.Instant) (ids.Offset, readlease.Lease, bool) {
	position, lease := c.lease()
	return position, lease, lease.Covers(now, position)
}
