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

// helpers is how many daemons try a peer that did not answer.
const indirectProbes = 3

// missed is called when a peer did not answer: the way to it may be cut in one
// direction only, so others try before there is a suspicion.
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

func (g *Gossip) probeIndirectly(ctx context.Context, id ids.Daemon) bool {
	ctx, cancel := g.Common.Clock.Within(ctx, callTimeout)
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

// others returns up to n random reachable daemons besides this one and id.
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

// HandleProbe answers a Probe: it reports whether this daemon reaches another.
func (g *Gossip) HandleProbe(ctx context.Context, p message.Probe) message.Probed {
	ctx, cancel := g.Common.Clock.Within(ctx, callTimeout/2)
	defer cancel()
	_, err := g.peers.Call(ctx, p.Daemon, message.Announce{})
	return message.Probed{Reached: err == nil}
}

// hearSuspicion takes a suspicion that another daemon told. The lock is held.
func (g *Gossip) handleSuspicion(a member.Revision) {
	if a.Daemon == g.self() {
		g.refute(a)
		return
	}
	g.startSuspicion(a)
}

// refute renews the own description, which ends the suspicion everywhere. The lock is
// held.
func (g *Gossip) refute(a member.Revision) {
	if a.Precedes(g.own.Revision()) {
		return
	}
	g.own.Incarnation = max(g.own.Incarnation, a.Incarnation)
	g.own.Version = a.Version + 1
	g.publishOwn()
}

// raise begins a suspicion unless a newer description is known. The lock is held.
func (g *Gossip) startSuspicion(a member.Revision) {
	m, ok := g.directory.Member(a.Daemon)
	if !ok || a.Precedes(m.Revision()) || m.Gone {
		return
	}
	d, ok := g.suspects[a.Daemon]
	if ok && d.Raised() && !d.revision.Precedes(a) {
		return
	}
	d = &suspect{revision: a}
	d.Missed(g.Common.Clock.Now())
	g.suspects[a.Daemon] = d
	g.enqueueUpdate(a.Daemon)
}

// settle marks the daemons as lost that did not end the suspicion in time.
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
		if d.Lost(now) && g.directory.SetLost(id) {
			g.Common.Info(event.DaemonLost, zap.String("peer", string(id)))
		}
	}
}

// probeLost tells one lost daemon about the suspicion, so that it shows itself when the
// network is whole again. A daemon that reaches nobody turns to its seeds.
func (g *Gossip) probeUnreachable(ctx context.Context) {
	missing := g.directory.Unreachable()
	if len(missing) == 0 {
		return
	}
	m := missing[g.randomIndex(len(missing))]
	go func() {
		ctx, cancel := g.Common.Clock.Within(ctx, callTimeout)
		defer cancel()
		own := g.LocalMember()
		a := message.Announce{Members: []member.Member{own}, Suspects: []member.Revision{m.Revision()}}
		reply, err := g.peers.Call(ctx, m.Daemon, a)
		if noted, ok := reply.(message.Noted); err == nil && ok {
			g.mergeReply(noted)
		}
	}()
}
