// Package gatekeeper forwards requests to the backend servers of its VM. All requests
// to them go through it.
//
// # Usage
//
//	g, err := kernel.Find[*gatekeeper.Gatekeeper](f, "gatekeeper")
//	answer, err := g.Forward(ctx, head, body)
//
// It manages the slots of each target, so it knows the exact number of requests in
// flight, their latency and their outcome. Requests that find no free slot wait in a
// queue that is fair between client accounts.
package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Gatekeeper manages the targets of one VM. Its methods may be called concurrently once
// it has been started.
type Gatekeeper struct {
	Common *common.Common
	// Dialer connects to the backend servers; nil stands for TCP.
	Dialer Dialer

	gossip  *gossip.Gossip
	ejector *ejector.Ejector

	mu      sync.Mutex
	targets map[ids.Target]*target
	// draining is set once all requests are refused because the daemon is leaving.
	draining bool
}

// Name implements service.Service.
func (g *Gatekeeper) Name() service.Name { return "gatekeeper" }

// Needs implements service.Service.
func (g *Gatekeeper) Needs() []service.Name { return []service.Name{"timer", "gossip", "ejector"} }

// Start implements service.Service.
func (g *Gatekeeper) Start(ctx context.Context, f service.Finder) error {
	var err error
	if g.gossip, err = kernel.Find[*gossip.Gossip](f, "gossip"); err != nil {
		return err
	}
	if g.ejector, err = kernel.Find[*ejector.Ejector](f, "ejector"); err != nil {
		return err
	}
	go g.runSweeps(ctx)
	return nil
}

// Stop implements service.Service. It closes the idle connections to the targets.
func (g *Gatekeeper) Stop(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		t.close()
	}
	return nil
}

// DrainAll refuses new and queued requests of all targets from now on; those in flight
// continue. The daemon calls it when it leaves.
func (g *Gatekeeper) DrainAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, t := range g.targets {
		t.queue.close()
	}
}

// Forward sends a request to the target that its head names, and blocks until the head
// of the answer arrives or the time remaining to the request is over. The slot stays in
// use until the caller closes the answer's body. Errors are a *verdict.Error; the
// answer beside them has no body and reports the load of the target, or is nil if the
// target is not here or the daemon is leaving.
func (g *Gatekeeper) Forward(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error) {
	t, err := g.lookup(head)
	if err != nil {
		return nil, err
	}
	if err := g.refuseEjected(head); err != nil {
		return &call.Answer{Load: t.load()}, err
	}
	ctx, cancel := g.Common.Clock.WithTimeout(ctx, head.Remaining)
	if err := t.queue.acquire(ctx, head); err != nil {
		cancel()
		metric.Sheds.Counter(g.Common.Metrics).Inc(1)
		return &call.Answer{Load: t.load()}, err
	}
	startedAt := g.Common.Clock.Now()
	observed := g.observe(head, body)
	answer, err := t.send(ctx, head, observed)
	timeToHead := g.Common.Clock.Now().Sub(startedAt)
	if err != nil {
		observed.recordFailure(ctx, err)
		cancel()
		g.finish(t, Outcome{Head: head, Err: err, Took: timeToHead, TimeToHead: timeToHead})
		return &call.Answer{Load: t.load()}, err
	}
	observed.observeAnswer(ctx, answer)
	answer.Load = t.load()
	answer.Body = &slotBody{ReadCloser: answer.Body, release: func(err error) {
		cancel()
		g.finish(t, Outcome{Head: head, Status: answer.Status, Err: err, Took: g.Common.Clock.Now().Sub(startedAt), TimeToHead: timeToHead})
	}}
	return answer, nil
}

// lookup returns the target of a request. It refuses all requests while the daemon is
// leaving, and those for a target that is not announced or that now belongs to another
// service.
func (g *Gatekeeper) lookup(head call.Head) (*target, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the daemon of the backend server is leaving")
	}
	t, ok := g.targets[head.Server]
	if !ok || t.announcement.Service != head.Service {
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is not here")
	}
	return t, nil
}

// slotBody is the body of an answer, which occupies a slot until it is closed.
type slotBody struct {
	io.ReadCloser
	release func(error)
	once    sync.Once
	err     error
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.err) })
	return err
}
