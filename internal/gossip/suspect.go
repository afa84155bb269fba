package gossip

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
)

// indirectProbes is how many daemons probe a peer that did not answer.
const indirectProbes = 3

// handleNoAnswer is called when a peer did not answer. The link to it may be cut in
// one direction only, so other daemons probe it before it is suspected.
func (g *Gossip) handleNoAnswer(ctx context.Context, id ids.Daemon) {
	if ctx.Err() != nil || g.probeIndirectly(ctx, id) {
		return
	}
	m, ok := g.directory.Member(id)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startSuspicion(m.Revision())
}

// probeIndirectly reports whether another daemon reaches the peer. It blocks for at
// most callTimeout.
func (g *Gossip) probeIndirectly(ctx context.Context, id ids.Daemon) bool {
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reached atomic.Bool
	var wg sync.WaitGroup
	for _, h := range g.randomPeers(id, indirectProbes) {
		wg.Go(func() {
			reply, err := g.peers.Call(ctx, h, message.Probe{Daemon: id})
			if p, ok := reply.(message.Probed); err == nil && ok && p.Reached {
				reached.Store(true)
				cancel()
			}
		})
	}
	wg.Wait()
	return reached.Load()
}

// randomPeers returns up to n random reachable daemons except this one and id.
func (g *Gossip) randomPeers(id ids.Daemon, n int) []ids.Daemon {
	members := g.directory.Reachable()
	g.mu.Lock()
	order := g.rng.Perm(len(members))
	g.mu.Unlock()
	var list []ids.Daemon
	for _, i := range order {
		d := members[i].Daemon
		if d == id || d == g.self() {
			continue
		}
		if list = append(list, d); len(list) == n {
			break
		}
	}
	return list
}

// HandleProbe answers a Probe: it reports whether this daemon reaches another. It
// blocks for at most half of callTimeout.
func (g *Gossip) HandleProbe(ctx context.Context, p message.Probe) message.Probed {
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	_, err := g.peers.Call(ctx, p.Daemon, message.Announce{})
	return message.Probed{Reached: err == nil}
}

// handleSuspicion handles a suspicion that another daemon sent. The caller holds
// the lock.
func (g *Gossip) handleSuspicion(a member.Revision) {
	if a.Daemon == g.self() {
		g.refute(a)
		return
	}
	g.startSuspicion(a)
}

// refute renews the own description, which ends the suspicion everywhere. The
// caller holds the lock.
func (g *Gossip) refute(a member.Revision) {
	if a.Precedes(g.own.Revision()) {
		return
	}
	g.own.Incarnation = max(g.own.Incarnation, a.Incarnation)
	g.own.Version = a.Version + 1
	g.publishOwn()
}

// startSuspicion starts a suspicion unless a newer description is known. The caller
// holds the lock.
func (g *Gossip) startSuspicion(a member.Revision) {
	m, ok := g.directory.Member(a.Daemon)
	if !ok || a.Precedes(m.Revision()) || m.Gone {
		return
	}
	d, ok := g.suspects[a.Daemon]
	if ok && d.Active() && !d.revision.Precedes(a) {
		return
	}
	d = &suspect{revision: a}
	d.Start(g.Common.Clock.Now())
	g.suspects[a.Daemon] = d
	g.enqueueUpdate(a.Daemon)
}

// expireSuspicions marks the daemons as unreachable that did not refute the
// suspicion in time.
func (g *Gossip) expireSuspicions() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Common.Clock.Now()
	for id, d := range g.suspects {
		m, ok := g.directory.Member(id)
		if !ok || d.revision.Precedes(m.Revision()) {
			delete(g.suspects, id)
			continue
		}
		if d.Expired(now) && g.directory.MarkUnreachable(id) {
			g.Common.Info(event.DaemonUnreachable, zap.String("peer", string(id)))
		}
	}
}

// probeUnreachable sends the suspicion to one random unreachable daemon, so that it
// renews its description when the network works again. A daemon that reaches nobody
// probes its seeds in this way.
func (g *Gossip) probeUnreachable(ctx context.Context) {
	unreachable := g.directory.Unreachable()
	if len(unreachable) == 0 {
		return
	}
	m := unreachable[g.randomIndex(len(unreachable))]
	go func() {
		ctx, cancel := g.Common.Clock.WithTimeout(ctx, callTimeout)
		defer cancel()
		own := g.LocalMember()
		a := message.Announce{Members: []member.Member{own}, Suspects: []member.Revision{m.Revision()}}
		reply, err := g.peers.Call(ctx, m.Daemon, a)
		if noted, ok := reply.(message.AnnounceReply); err == nil && ok {
			g.mergeReply(noted)
		}
	}()
}
