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
	maxNotes    = 50000
	answerSpace = 16 << 20
	// observe is the period of looking at the roster; a longer pause than
	// observeGap may have hidden a roster.
	observe    = 100 * time.Millisecond
	observeGap = 500 * time.Millisecond
	// rememberedRosters bounds the memory of rosters; with more of them within the
	// window, keys whose guard changed are refused.
	rememberedRosters = 128
	callTimeout       = time.Second
	// steadyTime is how long a key's pair waits after it changed. A daemon that is
	// confirmed sees every roster that lasts as long.
	steadyTime = 2*readlease.Duration + observeGap
)

// Viewer shows the shared settings; package tail implements it.
type Viewer interface {
	View(read func(*replay.State))
}

// Guard asks for attempts at this daemon and answers for the keys that it guards.
type Guard struct {
	Common *common.Common

	standing leasecheck.Checker
	peers    peer.Caller
	viewer   Viewer
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	number   atomic.Uint64

	mu     sync.Mutex
	book   idempotency.Store
	tenure rosterhistory.History
	// lineage finds the pairs of a key under the rosters of tenure.
	lineage rosterdiff.Sequence
	floor   ids.Offset
	made    uint64
}

// Name implements service.Service.
func (g *Guard) Name() service.Name { return "guard" }

// Needs implements service.Service.
func (g *Guard) Needs() []service.Name { return []service.Name{"timer", "confirm", "dial", "tail"} }

// Start implements service.Service.
func (g *Guard) Start(ctx context.Context, f service.Finder) error {
	var err error
	if g.standing, err = kernel.Find[leasecheck.Checker](f, "confirm"); err != nil {
		return err
	}
	if g.viewer, err = kernel.Find[Viewer](f, "tail"); err != nil {
		return err
	}
	if g.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	g.book = idempotency.Store{Window: Window, Limit: maxNotes, AnswerLimit: answerSpace}
	g.tenure = rosterhistory.History{MaxGap: observeGap, Limit: rememberedRosters}
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
	tick := g.Common.Clock.Every(observe)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.mu.Lock()
			g.seat(g.Common.Clock.Now())
			g.mu.Unlock()
		case <-g.ctx.Done():
			return
		}
	}
}

// seat observes the roster; it is false when this daemon may not act.
func (g *Guard) seat(now units.Instant) (roster.Roster, bool) {
	if !g.standing.Confirmed() {
		return roster.Roster{}, false
	}
	r := g.standing.Roster()
	if len(r.Entries) == 0 {
		return r, false
	}
	if g.tenure.Observe(now, r) != rosterhistory.Unchanged {
		g.lineage = rosterdiff.New(g.tenure.All())
	}
	g.floor = max(g.floor, r.Version)
	self, incarnation := g.standing.Self()
	e, ok := r.Find(self)
	return r, ok && e.Incarnation == incarnation
}

// history returns the rosters that may have been acted on within the window, and
// whether it is certain that there were no others.
func (g *Guard) history(now units.Instant) ([]roster.Roster, bool) {
	all, reaches := g.tenure.ActiveSince(now.Add(-Window))
	if reaches {
		return all, true
	}
	var kept []roster.Roster
	var since ids.Offset
	g.viewer.View(func(s *replay.State) { kept, since = s.Rosters() })
	if since == 0 && len(kept) > 0 {
		return kept, true
	}
	return all, false
}

// pairSize is a guard and its copy.
const pairSize = 2

func thing(key idempotency.Key) string { return "guard/" + string(key.Account) + "/" + key.Key }

// pair returns the guard and the copy of a key.
func pair(key idempotency.Key, r roster.Roster) []ids.Daemon {
	return share.Place(thing(key), r, pairSize)
}

// pairs holds a key's pairs under rosters with a version.
type pairs map[ids.Offset][]ids.Daemon

// pairs finds the pairs of a key under all rosters that are remembered. The lock is
// held.
func (g *Guard) pairs(key idempotency.Key) pairs {
	p := pairs{}
	found := g.lineage.Place(thing(key), pairSize)
	for i, r := range g.tenure.All() {
		if r.Version != 0 && i < len(found) {
			p[r.Version] = found[i]
		}
	}
	return p
}

// of returns the pair of the key under a roster.
func (p pairs) of(key idempotency.Key, r roster.Roster) []ids.Daemon {
	if to, ok := p[r.Version]; ok {
		return to
	}
	return pair(key, r)
}

// Begin asks the key's guard whether this attempt may run.
func (g *Guard) Begin(ctx context.Context, key idempotency.Key, digest ids.Hash) (idempotency.Attempt, idempotency.Outcome) {
	self, incarnation := g.standing.Self()
	attempt := idempotency.Attempt{Daemon: self, Incarnation: incarnation, Number: g.number.Add(1)}
	m := message.GuardBegin{Key: key, Digest: digest, Attempt: attempt}
	to := pair(key, g.standing.Roster())
	if len(to) == 0 {
		return attempt, idempotency.Refused{Reason: "no roster is in force"}
	}
	if to[0] == self {
		return attempt, g.Decide(ctx, m)
	}
	reply, err := g.call(ctx, to[0], m)
	began, ok := reply.(message.GuardBegan)
	if err != nil || !ok {
		g.tasks.Go(func() { g.Cancel(g.ctx, key, attempt) })
		return attempt, idempotency.Refused{Reason: "the guard of the idempotency key does not answer"}
	}
	return attempt, outcomeOf(began)
}

// Finish notes the answer of an attempt, in the background. A nil answer is one
// that is not kept; repeats then get the verdict maybe.
func (g *Guard) Finish(key idempotency.Key, attempt idempotency.Attempt, a *idempotency.Answer) {
	if a == nil {
		return
	}
	g.tasks.Go(func() { g.end(g.ctx, message.GuardEnd{Key: key, Attempt: attempt, Answer: a}) })
}

// Cancel forgets an attempt that did not run, so that a repeat may.
func (g *Guard) Cancel(ctx context.Context, key idempotency.Key, attempt idempotency.Attempt) {
	g.end(ctx, message.GuardEnd{Key: key, Attempt: attempt})
}

func (g *Guard) end(ctx context.Context, m message.GuardEnd) {
	self, _ := g.standing.Self()
	to := pair(m.Key, g.standing.Roster())
	if len(to) == 0 {
		return
	}
	if to[0] == self {
		g.HandleEnd(ctx, self, m)
		return
	}
	_, _ = g.call(ctx, to[0], m)
}

func (g *Guard) call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	ctx, cancel := g.Common.Clock.Within(ctx, callTimeout)
	defer cancel()
	return g.peers.Call(ctx, to, m)
}

// Notes returns how many keys are noted here.
func (g *Guard) Notes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Len()
}
