// Package rosterproposer proposes rosters by appending them to the log.
//
// # Usage
//
//	k.Add(&rosterproposer.Proposer{Common: c, Log: log})
//
// Every daemon compares the roster with the members in the directory. Usually one
// of them proposes the change: the daemons are ranked in an order that depends on
// the roster, and each waits longer than the one before. A proposal with a stale
// base has no effect. Package seats decides what to propose.
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
func (s *Proposer) Name() service.Name { return "seating" }

// Needs implements service.Service.
func (s *Proposer) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "confirm", "force", "dial"}
}

// Start implements service.Service.
func (s *Proposer) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "tail", &s.tail),
		kernel.Bind(f, "directory", &s.directory),
		kernel.Bind(f, "confirm", &s.confirm),
		kernel.Bind(f, "force", &s.force),
		kernel.Bind(f, "dial", &s.peers),
	); err != nil {
		return err
	}
	go s.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context.
func (s *Proposer) Stop(context.Context) error { return nil }

func (s *Proposer) run(ctx context.Context) {
	sub := s.Common.Clock.Every(period)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			s.check(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// check proposes a change when one is needed and this daemon's turn has come. It
// plans nothing while the roster fits and no member changes.
func (s *Proposer) check(ctx context.Context, now units.Instant) {
	newest := s.newest()
	self, _ := s.confirm.Self()
	seen := planInput{changes: s.directory.Changes(), base: newest.Version, known: true}
	s.absences.update(s.directory.Unreachable(), now)
	if seen == s.fittingInput {
		return
	}
	live := s.live(now)
	_, needed := rosterplan.Compute(newest, live)
	if !needed && s.absences.stable(now) {
		s.fittingInput = seen
	}
	if !needed || !s.confirm.Confirmed() || !s.force.InForce(newest.Version) {
		s.waiting = false
		return
	}
	if !s.waiting || s.waitingBase != newest.Version {
		s.waiting, s.waitingSince, s.waitingBase = true, now, newest.Version
	}
	if now.Sub(s.waitingSince) < delay(rosterplan.ProposerRank(newest, live, self)) {
		return
	}
	s.waiting = false
	if change, needed := rosterplan.Compute(newest, s.dropUnreachableJoins(ctx, newest, live)); needed && s.confirm.Confirmed() {
		s.propose(ctx, change)
	}
}

// delay returns how long a daemon of the given rank waits.
func delay(rank int) time.Duration {
	return min(firstDelay+time.Duration(rank)*rankDelay, maxDelay)
}

// propose appends the change. A lost reply needs no handling: a second append of
// the same change has a stale base.
func (s *Proposer) propose(ctx context.Context, change record.Roster) {
	data, err := record.Encode(change)
	if err != nil {
		s.Common.Warn(event.RosterUnsaid, zap.Error(err))
		return
	}
	ctx, cancel := s.Common.Clock.Within(ctx, appendTimeout)
	defer cancel()
	at, err := s.Log.Append(ctx, platformlog.Settings, data)
	if err != nil {
		s.Common.Warn(event.RosterUnsaid, zap.Error(err))
		return
	}
	s.Common.Info(event.RosterProposed, zap.Uint64("offset", uint64(at)), zap.Int("put", len(change.Put)), zap.Int("remove", len(change.Remove)))
}

// newest returns the newest roster that this daemon has read.
func (s *Proposer) newest() roster.Roster {
	var newest roster.Roster
	s.tail.View(func(state *replay.State) {
		if kept, _ := state.Rosters(); len(kept) > 0 {
			newest = kept[len(kept)-1]
		}
	})
	return newest
}

// live returns the members that should be in the roster.
func (s *Proposer) live(now units.Instant) []member.Member {
	var live []member.Member
	for _, m := range s.directory.Members() {
		if m.Incarnation != 0 && !m.Leaving && !m.Gone && !s.absences.absent(m.Daemon, now) {
			live = append(live, m)
		}
	}
	return live
}
