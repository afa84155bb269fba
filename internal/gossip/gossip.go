// Package gossip spreads what daemons say of themselves.
//
// # Usage
//
//	g.Update(func(m *member.Member) { m.Leaving = true })
//	reply := g.Hear(message.Announce{Members: members})
package gossip

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	period      = 500 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	fanout      = 3
)

// Gossip keeps this daemon's own description and exchanges those of others.
type Gossip struct {
	Common *common.Common

	directory *directory.Directory
	peers     peer.Caller

	mu  sync.Mutex
	own member.Member
}

// Name implements service.Service.
func (g *Gossip) Name() service.Name { return "gossip" }

// Needs implements service.Service.
func (g *Gossip) Needs() []service.Name { return []service.Name{"timer", "directory", "dial"} }

// Start implements service.Service.
func (g *Gossip) Start(ctx context.Context, f service.Finder) error {
	var err error
	if g.directory, err = kernel.Find[*directory.Directory](f, "directory"); err != nil {
		return err
	}
	if g.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	set := g.Common.Settings
	g.Update(func(m *member.Member) {
		m.Daemon = set.Identity.Daemon
		m.Centre = set.Identity.Centre
		m.Region = set.Identity.Region
		m.Peers = set.Listen.Peers
		m.Operators = set.Listen.Operators
		m.Incarnation = ids.Incarnation(g.Common.Clock.Wall().UnixNano())
	})
	for _, seed := range set.Peers.Seeds {
		name, addr, _ := strings.Cut(seed, "@")
		g.directory.Put(member.Member{Daemon: ids.Daemon(name), Peers: ids.Address(addr)})
	}
	go g.run(ctx)
	return nil
}

// Stop implements service.Service.
func (g *Gossip) Stop(context.Context) error { return nil }

// Update changes this daemon's own description.
func (g *Gossip) Update(change func(*member.Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.own)
	g.own.Version++
	copied := g.own
	copied.Targets = append([]member.Target(nil), g.own.Targets...)
	g.directory.Put(copied)
}

// Own returns this daemon's own description.
func (g *Gossip) Own() member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own
}

// Hear stores what another daemon says and returns what this one knows better.
func (g *Gossip) Hear(a message.Announce) message.Noted {
	known := map[ids.Daemon]member.Member{}
	for _, m := range a.Members {
		known[m.Daemon] = m
		if m.Daemon != g.Common.Settings.Identity.Daemon {
			g.directory.Put(m)
		}
	}
	var better []member.Member
	for _, m := range g.directory.Members() {
		if known[m.Daemon].Precedes(m) {
			better = append(better, m)
		}
	}
	return message.Noted{Members: better}
}

// run exchanges descriptions with a few daemons in each period.
func (g *Gossip) run(ctx context.Context) {
	sub := g.Common.Clock.Every(period)
	defer sub.Stop()
	for {
		g.round(ctx)
		select {
		case <-sub.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossip) round(ctx context.Context) {
	members := g.directory.Members()
	var wg sync.WaitGroup
	for _, i := range rand.Perm(len(members))[:min(fanout, len(members))] {
		if members[i].Daemon == g.Common.Settings.Identity.Daemon {
			continue
		}
		wg.Go(func() { g.exchange(ctx, members[i].Daemon, members) })
	}
	wg.Wait()
}

func (g *Gossip) exchange(ctx context.Context, to ids.Daemon, members []member.Member) {
	ctx, cancel := g.Common.Clock.Within(ctx, callTimeout)
	defer cancel()
	reply, err := g.peers.Call(ctx, to, message.Announce{Members: members})
	if err != nil {
		return
	}
	if noted, ok := reply.(message.Noted); ok {
		for _, m := range noted.Members {
			g.directory.Put(m)
		}
	}
}
