// Package rosterproposer proposes rosters by appending them to the log.
//
// # Usage
//
//	k.Add(&rosterproposer.Proposer{Common: c, Log: log})
//
// Every daemon compares the roster with the members in the directory. Usually one
// of them proposes the change: the daemons are ranked in an order that depends on
// the roster, and each waits longer than the one before. A proposal with a stale
// base has no effect. Package rosterplan decides what to propose.
package rosterproposer

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/confirm"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterplan"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	period = time.Second
	// firstDelay is how long the first daemon waits, so that several changes become
	// one record.
	firstDelay = time.Second
	// rankDelay is how much longer each further daemon waits.
	rankDelay = 2 * time.Second
	// maxDelay bounds the wait of the last ones.
	maxDelay      = 20 * time.Second
	appendTimeout = 2 * time.Second
)

// Proposer compares the members with the roster and proposes changes.
type Proposer struct {
	Common *common.Common
	Log    platformlog.Log

	tail         *tail.Tail
	directory    *directory.Directory
	confirm      *confirm.Confirm
	force        *force.Force
	peers        peer.Caller
	absences     absenceTracker
	waiting      bool
	waitingSince units.Instant
	waitingBase  ids.Offset
	// fittingInput is the newest input for which no change was needed.
	fittingInput planInput
}

// planInput identifies the members and the roster that a plan was made from.
type planInput struct {
	changes uint64
	base    ids.Offset
	known   bool
}

// Name implements service.Service.
func (p *Proposer) Name() service.Name { return "rosterproposer" }

// Needs implements service.Service.
func (p *Proposer) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "confirm", "force", "dial"}
}

// Start implements service.Service.
func (p *Proposer) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "tail", &p.tail),
		kernel.Bind(f, "directory", &p.directory),
		kernel.Bind(f, "confirm", &p.confirm),
		kernel.Bind(f, "force", &p.force),
		kernel.Bind(f, "dial", &p.peers),
	); err != nil {
		return err
	}
	go p.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context.
func (p *Proposer) Stop(context.Context) error { return nil }

func (p *Proposer) run(ctx context.Context) {
	sub := p.Common.Clock.Every(period)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			p.check(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// check proposes a change when one is needed and this daemon's turn has come. It
// plans nothing while the roster fits and no member changes.
func (p *Proposer) check(ctx context.Context, now units.Instant) {
	newest := p.newest()
	self, _ := p.confirm.Self()
	input := planInput{changes: p.directory.Changes(), base: newest.Version, known: true}
	p.absences.update(p.directory.Unreachable(), now)
	if input == p.fittingInput {
		return
	}
	live := p.live(now)
	_, needed := rosterplan.Compute(newest, live)
	if !needed && p.absences.stable(now) {
		p.fittingInput = input
	}
	if !needed || !p.confirm.Confirmed() || !p.force.InForce(newest.Version) {
		p.waiting = false
		return
	}
	if !p.waiting || p.waitingBase != newest.Version {
		p.waiting, p.waitingSince, p.waitingBase = true, now, newest.Version
	}
	if now.Sub(p.waitingSince) < delay(rosterplan.ProposerRank(newest, live, self)) {
		return
	}
	p.waiting = false
	if change, needed := rosterplan.Compute(newest, p.dropUnreachableJoins(ctx, newest, live)); needed && p.confirm.Confirmed() {
		p.propose(ctx, change)
	}
}

// delay returns how long a daemon of the given rank waits.
func delay(rank int) time.Duration {
	return min(firstDelay+time.Duration(rank)*rankDelay, maxDelay)
}

// propose appends the change. A lost reply needs no handling: a second append of
// the same change has a stale base.
func (p *Proposer) propose(ctx context.Context, change record.Roster) {
	data, err := record.Encode(change)
	if err != nil {
		p.Common.Warn(event.RosterProposalFailed, zap.Error(err))
		return
	}
	ctx, cancel := p.Common.Clock.WithTimeout(ctx, appendTimeout)
	defer cancel()
	at, err := p.Log.Append(ctx, platformlog.Settings, data)
	if err != nil {
		p.Common.Warn(event.RosterProposalFailed, zap.Error(err))
		return
	}
	p.Common.Info(event.RosterProposed, zap.Uint64("offset", uint64(at)), zap.Int("put", len(change.Put)), zap.Int("remove", len(change.Remove)))
}

// newest returns the newest roster that this daemon has read.
func (p *Proposer) newest() roster.Roster {
	var newest roster.Roster
	p.tail.View(func(state *replay.State) {
		if rosters, _ := state.Rosters(); len(rosters) > 0 {
			newest = rosters[len(rosters)-1]
		}
	})
	return newest
}

// live returns the members that should be in the roster.
func (p *Proposer) live(now units.Instant) []member.Member {
	var live []member.Member
	for _, m := range p.directory.Members() {
		if m.Incarnation != 0 && !m.Leaving && !m.Gone && !p.absences.absent(m.Daemon, now) {
			live = append(live, m)
		}
	}
	return live
}
