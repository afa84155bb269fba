// Package guard lets a request with an Idempotency-Key run at most once.
//
// # Usage
//
//	key := idempotency.Key{Account: a, Key: k}
//	attempt, outcome := g.Begin(ctx, key, digest)
//	if _, ok := outcome.(idempotency.Granted); ok {
//		answer := run()
//		g.Finish(key, attempt, answer) // or g.Cancel(ctx, key, attempt)
//	}
//
// Each key has a pair of daemons in different data centres, the guard and one with a
// copy of the guard's record. They are chosen by rendezvous hashing over the roster in
// force. An attempt runs only after both have recorded it.
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
	// Window is how long the record of a key is retained.
	Window     = 10 * time.Minute
	maxRecords = 50000
	// answerLimit is the largest total size of the stored answers, in bytes.
	answerLimit = 16 << 20
	// observeInterval is the time between two observations of the roster. After a gap
	// longer than maxObserveGap, a roster may have been missed.
	observeInterval = 100 * time.Millisecond
	maxObserveGap   = 500 * time.Millisecond
	// maxRosters limits the roster history. With more rosters within Window, attempts
	// for keys whose guard has changed are refused.
	maxRosters  = 128
	callTimeout = time.Second
	// settleTime is how long a key's new pair grants no attempts. A confirmed daemon
	// observes every roster that is in force for as long.
	settleTime = 2*readlease.Duration + maxObserveGap
)

// Viewer gives access to the shared settings and the rosters recorded with them.
// Package tail implements it.
type Viewer interface {
	View(read func(*replay.State))
}

// Guard asks for permission to run the attempts of this daemon's requests, and decides
// on the attempts for the keys that this daemon guards.
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
	// sequence holds the rosters of history, to find the pairs of a key under them.
	sequence rosterdiff.Sequence
	// minVersion is the newest roster version observed here or seen in a GuardLookup.
	// This daemon takes part in no grant under an older roster.
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

// observeRoster returns the roster in force and adds it to the history. It returns
// false when this daemon may not act: it isn't confirmed, or its incarnation isn't on
// the roster. The caller holds g.mu.
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

// activeRosters returns the rosters that daemons may have acted on within the window,
// and whether it is certain that there were no others. If this daemon's own history
// doesn't reach back that far, the rosters recorded in the log are used, provided
// that they are complete.
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

// pairSize counts the guard and the daemon with the copy.
const pairSize = 2

// placementKey returns the key under which share.Place finds the pair.
func placementKey(key idempotency.Key) string { return "guard/" + string(key.Account) + "/" + key.Key }

// pair returns the guard of a key, followed by the daemon with the copy.
func pair(key idempotency.Key, r roster.Roster) []ids.Daemon {
	return share.Place(placementKey(key), r, pairSize)
}

// pairs holds a key's pairs by roster version.
type pairs map[ids.Offset][]ids.Daemon

// findPairs returns the pairs of a key under all rosters of the history that have a
// version. The caller holds g.mu.
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

// Begin asks the key's guard whether a new attempt may run. If the guard doesn't
// answer, the attempt is refused and cancelled in the background, since the guard may
// have recorded it.
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

// Finish reports the answer of an attempt to the guard, in the background. With a nil
// answer it does nothing; repeated requests then get the verdict maybe.
func (g *Guard) Finish(key idempotency.Key, attempt idempotency.Attempt, a *idempotency.Answer) {
	if a == nil {
		return
	}
	g.tasks.Go(func() { g.reportEnd(g.ctx, message.GuardEnd{Key: key, Attempt: attempt, Answer: a}) })
}

// Cancel removes the record of an attempt that did not run, so that a repeated request
// may. It blocks until the guard has answered or the call has timed out.
func (g *Guard) Cancel(ctx context.Context, key idempotency.Key, attempt idempotency.Attempt) {
	g.reportEnd(ctx, message.GuardEnd{Key: key, Attempt: attempt})
}

// reportEnd sends the end of an attempt to the guard, or handles it here if this
// daemon is the guard.
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
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.peers.Call(ctx, to, m)
}

// RecordCount returns the number of keys with a record at this daemon.
func (g *Guard) RecordCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.Len()
}
