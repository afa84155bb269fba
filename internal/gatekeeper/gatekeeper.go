// Package gatekeeper is the only way to the backend servers of its VM.
//
// # Usage
//
//	g, err := kernel.Find[*gatekeeper.Gatekeeper](f, "gatekeeper")
//	answer, err := g.Forward(ctx, head, body)
//
// It holds the slots of each target, so it knows the true number of requests in
// flight, their latency and their outcome.
package gatekeeper

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Gatekeeper holds the targets of one VM.
type Gatekeeper struct {
	Common *common.Common
	// Dialer reaches the backend servers; nil stands for TCP.
	Dialer Dialer

	gossip  *gossip.Gossip
	ejector *ejector.Ejector

	mu      sync.Mutex
	targets map[ids.Target]*target
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	ID      ids.Target
	Service ids.Service
	Address ids.Address
	Slots   int
	Cold    time.Duration
}

// Name implements service.Service.
func (g *Gatekeeper) Name() service.Name { return "gatekeeper" }

// Needs implements service.Service.
func (g *Gatekeeper) Needs() []service.Name { return []service.Name{"timer", "gossip", "ejector"} }

// Start implements service.Service.
func (g *Gatekeeper) Start(_ context.Context, f service.Finder) error {
	var err error
	if g.gossip, err = kernel.Find[*gossip.Gossip](f, "gossip"); err != nil {
		return err
	}
	g.ejector, err = kernel.Find[*ejector.Ejector](f, "ejector")
	return err
}

// Stop closes the connections to the targets.
func (g *Gatekeeper) Stop(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		t.close()
	}
	return nil
}

// Announce adds a target or renews it.
func (g *Gatekeeper) Announce(a Announcement) {
	now := g.Common.Clock.Now()
	g.mu.Lock()
	if g.targets == nil {
		g.targets = map[ids.Target]*target{}
	}
	t, ok := g.targets[a.ID]
	if ok && t.announcement == a && !t.leaving {
		t.renewed = now
		g.mu.Unlock()
		return
	}
	if ok {
		t.close()
	}
	g.targets[a.ID] = newTarget(g, a)
	g.track(a)
	g.mu.Unlock()
	g.publish()
}

// Leave marks a target as leaving: it gets no new work.
func (g *Gatekeeper) Leave(id ids.Target) bool {
	g.mu.Lock()
	t, ok := g.targets[id]
	if ok {
		t.leaving = true
	}
	g.mu.Unlock()
	if ok {
		g.publish()
	}
	return ok
}

// publish tells the fleet about the targets of this VM.
func (g *Gatekeeper) publish() {
	g.mu.Lock()
	var list []member.Target
	for _, t := range g.targets {
		list = append(list, t.describe(g.Common.Clock.Now()))
	}
	g.mu.Unlock()
	g.gossip.Update(func(m *member.Member) {
		m.Targets = list
		g.ejector.Mark(m)
	})
}

// Forward runs a request at the target that its head names.
func (g *Gatekeeper) Forward(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error) {
	t, err := g.admit(head)
	if err != nil {
		return nil, err
	}
	if err := g.refuseEjected(head); err != nil {
		return &call.Answer{Load: t.load()}, err
	}
	ctx, cancel := g.Common.Clock.Within(ctx, head.Remaining)
	if err := t.enter(ctx); err != nil {
		cancel()
		return &call.Answer{Load: t.load()}, err
	}
	began := g.Common.Clock.Now()
	seen := g.observe(head, body)
	answer, err := t.run(ctx, head, seen)
	if err != nil {
		seen.failed(ctx, err)
		cancel()
		t.leave(g.Common.Clock.Now().Sub(began))
		return &call.Answer{Load: t.load()}, err
	}
	seen.answered(ctx, answer)
	answer.Load = t.load()
	answer.Body = &held{ReadCloser: answer.Body, release: func() {
		cancel()
		t.leave(g.Common.Clock.Now().Sub(began))
	}}
	return answer, nil
}

// admit finds the target and refuses work that it must not get.
func (g *Gatekeeper) admit(head call.Head) (*target, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.targets[head.Server]
	if !ok || t.announcement.Service != head.Service {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is not here")
	}
	if t.leaving {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is leaving")
	}
	return t, nil
}

// held is an answer's body that keeps its slot until it is closed.
type held struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close implements io.Closer.
func (h *held) Close() error {
	err := h.ReadCloser.Close()
	h.once.Do(h.release)
	return err
}
