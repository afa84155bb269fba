// Package gossip spreads the daemons' descriptions of themselves and detects
// daemons that can't be reached.
//
// # Usage
//
//	g.Update(func(m *member.Member) { m.Leaving = true })
//	reply := g.HandleAnnounce(message.Announce{...})
//
// A daemon runs one task for each peer on the ring (package ring). The task sends
// updates at once and a probe in each period. A peer that does not answer is probed
// through other daemons; if they can't reach it either, the suspicion is sent to
// all, and the suspected daemon renews its description if it is alive.
package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/changelog"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/suspicion"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// nearPeriod is the time between probes of the nearest peers.
	nearPeriod = time.Second
	// farPeriod is the time between probes of the other peers, and between two
	// comparisons with any peer.
	farPeriod = 5 * time.Second
	// nearPeers is how many peers are probed each nearPeriod, so every daemon is
	// watched by that many.
	nearPeers = 3
	// updateDelay collects updates before they are sent.
	updateDelay = 50 * time.Millisecond
	// callTimeout is the time in which a peer must answer.
	callTimeout = 800 * time.Millisecond
)

// Gossip holds this daemon's own description and exchanges descriptions with other
// daemons.
type Gossip struct {
	Common *common.Common

	directory *directory.Directory
	peers     peer.Caller

	mu       sync.Mutex
	own      member.Member
	updates  changelog.Log[ids.Daemon]
	tasks    map[ids.Daemon]*peerTask
	suspects map[ids.Daemon]*suspect
	rng      *rand.Rand
	// arranged is the directory's count of reachability changes as of the last
	// arrangement; only run uses it.
	arranged uint64
	// memberAdded wakes run when a description has changed, to arrange the tasks.
	memberAdded chan struct{}
}

// suspect is a suspected daemon, as of one revision of its description.
type suspect struct {
	revision member.Revision
	suspicion.Suspicion
}

// Name implements service.Service.
func (g *Gossip) Name() service.Name { return "gossip" }

// Needs implements service.Service.
func (g *Gossip) Needs() []service.Name { return []service.Name{"timer", "directory", "dial"} }

// Start implements service.Service.
func (g *Gossip) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "directory", &g.directory),
		kernel.Bind(f, "dial", &g.peers),
	); err != nil {
		return err
	}
	g.tasks = map[ids.Daemon]*peerTask{}
	g.suspects = map[ids.Daemon]*suspect{}
	g.memberAdded = make(chan struct{}, 1)
	set := g.Common.Settings
	started := uint64(g.Common.Clock.Wall().UnixNano())
	g.rng = rand.New(rand.NewPCG(started, uint64(len(set.Identity.Daemon))))
	g.Update(func(m *member.Member) {
		m.Daemon = set.Identity.Daemon
		m.Centre = set.Identity.Centre
		m.Region = set.Identity.Region
		m.Peers = set.Listen.Peers
		m.Operators = set.Listen.Operators
		m.Incarnation = ids.Incarnation(started)
	})
	g.addSeeds()
	go g.run(ctx)
	return nil
}

// addSeeds adds the seeds with incarnation zero, which any description that they
// send replaces.
func (g *Gossip) addSeeds() {
	for _, s := range g.Common.Settings.Peers.Seeds {
		name, addr, _ := strings.Cut(s, "@")
		if ids.Daemon(name) != g.self() {
			g.directory.Put(member.Member{Daemon: ids.Daemon(name), Peers: ids.Address(addr)})
		}
	}
}

func (g *Gossip) self() ids.Daemon { return g.Common.Settings.Identity.Daemon }

// Stop announces to the peers that this daemon is gone.
func (g *Gossip) Stop(ctx context.Context) error {
	g.Update(func(m *member.Member) { m.Leaving, m.Gone = true, true })
	var wg sync.WaitGroup
	for _, t := range g.allTasks() {
		wg.Go(func() { t.leave(ctx) })
	}
	wg.Wait()
	return nil
}

// Update changes this daemon's own description and sends it to the peers.
func (g *Gossip) Update(change func(*member.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.own)
	g.own.Version++
	g.publishOwn()
}

// publishOwn stores the own description and wakes the peers' tasks. The caller
// holds the lock.
func (g *Gossip) publishOwn() {
	copied := g.own
	copied.Targets = append([]member.Target(nil), g.own.Targets...)
	g.directory.Put(copied)
	g.enqueueUpdate(g.own.Daemon)
}

// enqueueUpdate enqueues a daemon's description or suspicion for all peers. The
// caller holds the lock.
func (g *Gossip) enqueueUpdate(id ids.Daemon) {
	g.updates.Add(id)
	for _, t := range g.tasks {
		t.wake()
	}
}

// LocalMember returns this daemon's own description.
func (g *Gossip) LocalMember() member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own
}

// run maintains a task for each peer on the ring and expires suspicions.
func (g *Gossip) run(ctx context.Context) {
	sub := g.Common.Clock.Every(nearPeriod)
	defer sub.Stop()
	for {
		g.arrange(ctx)
		g.expireSuspicions()
		g.directory.EvictExpired(g.Common.Clock.Now())
		g.probeUnreachable(ctx)
		select {
		case <-sub.C:
		case <-g.memberAdded:
			_ = g.Common.Clock.Sleep(ctx, updateDelay)
		case <-ctx.Done():
			return
		}
	}
}
