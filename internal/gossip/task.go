package gossip

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/ring"
)

// peerTask exchanges updates with one peer.
type peerTask struct {
	gossip  *Gossip
	to      ids.Daemon
	period  time.Duration
	updated chan struct{}
	cancel  context.CancelFunc
	// cursor is the position in the updates up to which the peer has received them.
	cursor uint64
}

// wake makes the task send updates soon.
func (t *peerTask) wake() {
	select {
	case t.updated <- struct{}{}:
	default:
	}
}

// arrange starts tasks for new peers and ends those of daemons that are no longer
// peers. The ring is computed again only when the reachable daemons have changed.
func (g *Gossip) arrange(ctx context.Context) {
	changes := g.directory.ReachabilityChanges()
	if changes == g.arranged {
		return
	}
	g.arranged = changes
	var all []ids.Daemon
	for _, m := range g.directory.Reachable() {
		all = append(all, m.Daemon)
	}
	peers := ring.New(all).Peers(g.self())
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := map[ids.Daemon]bool{}
	for i, id := range peers {
		wanted[id] = true
		period := farPeriod
		if i < nearPeers {
			period = nearPeriod
		}
		g.ensureTask(ctx, id, period)
	}
	for id, t := range g.tasks {
		if !wanted[id] {
			t.cancel()
			delete(g.tasks, id)
		}
	}
}

// ensureTask starts the task of a peer unless it runs with the period already. The
// caller holds the lock.
func (g *Gossip) ensureTask(ctx context.Context, id ids.Daemon, period time.Duration) {
	if t, ok := g.tasks[id]; ok {
		if t.period == period {
			return
		}
		t.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &peerTask{gossip: g, to: id, period: period, updated: make(chan struct{}, 1), cancel: cancel}
	g.tasks[id] = t
	go t.run(ctx)
}

func (g *Gossip) allTasks() []*peerTask {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*peerTask
	for _, t := range g.tasks {
		all = append(all, t)
	}
	return all
}

// run exchanges messages with the peer until the task is cancelled. The first
// exchange compares what both know; later ones carry updates and compare again
// after farPeriod.
func (t *peerTask) run(ctx context.Context) {
	g := t.gossip
	compareDue := true
	compared := g.Common.Clock.Now()
	sub := g.Common.Clock.Every(t.period)
	defer sub.Stop()
	for {
		if compareDue {
			t.reconcile(ctx)
			compared = g.Common.Clock.Now()
		} else {
			t.exchange(ctx)
		}
		select {
		case <-sub.C:
		case <-t.updated:
			_ = g.Common.Clock.Sleep(ctx, updateDelay)
		case <-ctx.Done():
			return
		}
		compareDue = g.Common.Clock.Now().Sub(compared) >= farPeriod
	}
}

// exchange sends the updates and merges the reply.
func (t *peerTask) exchange(ctx context.Context) {
	a, next := t.gossip.announcement(t.cursor)
	reply, err := t.call(ctx, a)
	if err != nil {
		t.gossip.handleNoAnswer(ctx, t.to)
		return
	}
	t.cursor = next
	t.gossip.mergeReply(reply)
}

// reconcile compares digests with the peer until they agree, one data centre at a
// time.
func (t *peerTask) reconcile(ctx context.Context) {
	a, next := t.gossip.announcement(t.cursor)
	const maxSteps = 64
	for range maxSteps {
		a.Digest = t.gossip.digest()
		reply, err := t.call(ctx, a)
		if err != nil {
			t.gossip.handleNoAnswer(ctx, t.to)
			return
		}
		t.cursor = next
		t.gossip.mergeReply(reply)
		if reply.Centre == "" {
			return
		}
		a = t.gossip.diff(reply)
		if len(a.Members) == 0 && len(a.Requested) == 0 {
			return
		}
	}
}

func (t *peerTask) call(ctx context.Context, a message.Announce) (message.AnnounceReply, error) {
	ctx, cancel := t.gossip.Common.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := t.gossip.peers.Call(ctx, t.to, a)
	if err != nil {
		return message.AnnounceReply{}, err
	}
	noted, _ := reply.(message.AnnounceReply)
	return noted, nil
}

// leave announces to the peer that this daemon is gone.
func (t *peerTask) leave(ctx context.Context) {
	_, _ = t.call(ctx, message.Announce{Members: []member.Member{t.gossip.LocalMember()}})
}
