// Package guard lets a request with an Idempotency-Key run at most once.
//
// # Usage
//
//	attempt, outcome := g.Begin(ctx, mark.Key{Account: a, Key: k}, digest)
//	if _, ok := outcome.(mark.Fresh); ok {
//		answer := run()
//		g.Finish(key, attempt, answer) // or g.Cancel(ctx, key, attempt)
//	}
//
// Each key has a guard daemon and a copy in another data centre, by rendezvous
// hashing over the roster in force. An attempt runs only after both have noted it.
package guard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/readlease"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterdiff"
	"balsamwharf.example/balsamwharf/internal/rosterhistory"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// Window is how long a key is remembered.
	Window      = 10 * time.Minute
	maxRecords  = 50000
	answerLimit = 16 << 20
	// observeInterval is the period of looking at the roster; a longer pause than
	// maxObserveGap may have hidden a roster.
	observeInterval = 100 * time.Millisecond
	maxObserveGap   = 500 * time.Millisecond
	// maxRosters bounds the memory of rosters; with more of them within the
	// window, keys whose guard changed are refused.
	maxRosters  = 128
	callTimeout = time.Second
	// settleTime is how long a key's pair waits after it changed. A daemon that is
	// confirmed sees every roster that lasts as long.
	settleTime = 2*readlease.Duration + maxObserveGap
)

// Viewer shows the shared settings; package tail implements it.
type Viewer interface {
	View(read func(*replay.State))
}

// Guard asks for attempts at this daemon and answers for the keys that it guards.
type Guard struct {
	Common *common.Common

	lease             leasecheck.Checker
	peers             peer.Caller
	viewer            Viewer
	ctx               context.Context
	cancel            context.CancelFunc
	tasks             sync.WaitGroup
	lastAttemptNumber atomic.Uint64

	mu      sync.Mutex
	store   idempotency.Store
	history rosterhistory.History
	// sequence finds the pairs of a key under the rosters of history.
	sequence         rosterdiff.Sequence
	minVersion       ids.Offset
	lastRecordNumber uint64
}

// Name implements service.Service.
func (g *Guard) Name() service.Name { return "guard" }

// Needs implements service.Service.
func (g *Guard) Needs() []service.Name { return []service.Name{"timer", "confirm", "dial", "tail"} }

// Start implements service.Service.
func (g *Guard) Start(ctx context.Context, f service.Finder) error {
	var err error
	if g.lease, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if g.viewer, err = kernel.Find[Viewer](f, "tail"); err != nil {
		return err
	}
	if g.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	g.store = idempotency.Store{Window: Window, Limit: maxRecords, AnswerLimit: answerLimit}
	g.history = rosterhistory.History{MaxGap: maxObserveGap, Limit: maxRosters}
	g.ctx, g.cancel = context.WithCancel(ctx)
	g.tasks.Go(g.run)
	return nil
}

// Stop ends the tasks.
func (g *Guard) Stop(context.Context) error {
	g.cancel()
	g.tasks.Wait()
	return nil
}

func (g *Guard) run() {
	tick := g.Common.Clock.Every(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.mu.Lock()
			g.observeRoster(g.Common.Clock.Now())
			g.mu.Unlock()
		case <-g.ctx.Done():
			return
		}
	}
}

// observeRoster observes the roster; it is false when this daemon may not act.
func (g *Guard) observeRoster(now units.Instant) (roster.Roster, bool) {
	if !g.lease.Confirmed() {
		return roster.Roster{}, false
	}
	r := g.lease.Roster()
	if len(r.Entries) == 0 {
		return r, false
	}
	if g.history.Observe(now, r) != rosterhistory.Unchanged {
		g.sequence = rosterdiff.New(g.history.All())
	}
	g.minVersion = max(g.minVersion, r.Version)
	self, incarnation := g.lease.Self()
	e, ok := r.Find(self)
	return r, ok && e.Incarnation == incarnation
}

// activeRosters returns the rosters that may have been acted on within the window, and
// whether it is certain that there were no others.
func (g *Guard) activeRosters(now units.Instant) ([]roster.Roster, bool) {
	all, historyComplete := g.history.ActiveSince(now.Add(-Window))
	if historyComplete {
		return all, true
	}
	var stored []roster.Roster
	var since ids.Offset
	g.viewer.View(func(s *replay.State) { stored, since = s.Rosters() })
	if since == 0 && len(stored) > 0 {
		return stored, true
	}
	return all, false
}

// pairSize is a guard and its copy.
const pairSize = 2

func placementKey(key idempotency.Key) string { return "guard/" + string(key.Account) + "/" + key.Key }

// pair returns the guard and the copy of a key.
func pair(key idempotency.Key, r roster.Roster) []ids.Daemon {
	return share.Place(placementKey(key), r, pairSize)
}

// pairs holds a key's pairs under rosters with a version.
type pairs map[ids.Offset][]ids.Daemon

// findPairs finds the pairs of a key under all rosters that are remembered. The lock is
// held.
func (g *Guard) findPairs(key idempotency.Key) pairs {
	p := pairs{}
	found := g.sequence.Place(placementKey(key), pairSize)
	for i, r := range g.history.All() {
		if r.Version != 0 && i < len(found) {
			p[r.Version] = found[i]
		}
	}
	return p
}

// of returns the pair of the key under a roster.
func (p pairs) of(key idempotency.Key, r roster.Roster) []ids.Daemon {
	if holders, ok := p[r.Version]; ok {
		return holders
	}
	return pair(key, r)
}

// Begin asks the key's guard whether this attempt may run.
func (g *Guard) Begin(ctx context.Context, key idempotency.Key, digest ids.Hash) (idempotency.Attempt, idempotency.Outcome) {
	self, incarnation := g.lease.Self()
	attempt := idempotency.Attempt{Daemon: self, Incarnation: incarnation, Number: g.lastAttemptNumber.Add(1)}
	m := message.GuardBegin{Key: key, Digest: digest, Attempt: attempt}
	holders := pair(key, g.lease.Roster())
	if len(holders) == 0 {
		return attempt, idempotency.Refused{Reason: "no roster is in force"}
	}
	if holders[0] == self {
		return attempt, g.Decide(ctx, m)
	}
	reply, err := g.call(ctx, holders[0], m)
	began, ok := reply.(message.GuardBegan)
	if err != nil || !ok {
		g.tasks.Go(func() { g.Cancel(g.ctx, key, attempt) })
		return attempt, idempotency.Refused{Reason: "the guard of the idempotency key does not answer"}
	}
	return attempt, decodeOutcome(began)
}

// Finish notes the answer of an attempt, in the background. A nil answer is one
// that is not kept; repeats then get the verdict maybe.
func (g *Guard) Finish(key idempotency.Key, attempt idempotency.Attempt, a *idempotency.Answer) {
	if a == nil {
		return
	}
	g.tasks.Go(func() { g.reportEnd(g.ctx, message.GuardEnd{Key: key, Attempt: attempt, Answer: a}) })
}

// Cancel forgets an attempt that did not run, so that a repeat may.
func (g *Guard) Cancel(ctx context.Context, key idempotency.Key, attempt idempotency.Attempt) {
	g.reportEnd(ctx, message.GuardEnd{Key: key, Attempt: attempt})
}

func (g *Guard) reportEnd(ctx context.Context, m message.GuardEnd) {
	self, _ := g.lease.Self()
	holders := pair(m.Key, g.lease.Roster())
	if len(holders) == 0 {
		return
	}
	if holders[0] == self {
		g.HandleEnd(ctx, self, m)
		return
	}
	_, _ = g.call(ctx, holders[0], m)
}

func (g *Guard) call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	ctx, cancel := g.Common.Clock.Within(ctx, callTimeout)
	defer cancel()
	return g.peers.Call(ctx, to, m)
}

// RecordCount returns how many keys are noted here.
func (g *Guard) RecordCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Len()
}
