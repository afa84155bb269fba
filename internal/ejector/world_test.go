package ejector_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	quotes ids.Service = "root/quotes"
	hash   ids.Hash    = "00000000000000000000000000000000000000000000000000000000000000aa"
)

// world is a set of daemons with one target each, on an in-memory network.
type world struct {
	t     *testing.T
	log   logstub.Stub
	nodes map[ids.Daemon]*node
	order []*node
	// idle is a daemon whose target gets no traffic.
	idle *node
	mu   sync.Mutex
	// cut daemons reach no other daemon and are reached by none.
	cut map[ids.Daemon]bool
	// unconfirmed daemons have no read lease and must not act as stewards.
	unconfirmed map[ids.Daemon]bool
	// left daemons are no longer in the roster.
	left map[ids.Daemon]bool
}

// node is one daemon. It is its own peer.Caller.
type node struct {
	w         *world
	id        ids.Daemon
	target    ids.Target
	clock     *timer.Timer
	directory *directory.Directory
	gossip    *gossip.Gossip
	permit    *permit.Manager
	ejector   *ejector.Ejector
	kernel    kernel.Kernel
}

func newWorld(t *testing.T, daemons int) *world {
	t.Helper()
	w := &world{t: t, nodes: map[ids.Daemon]*node{}, cut: map[ids.Daemon]bool{}, unconfirmed: map[ids.Daemon]bool{}, left: map[ids.Daemon]bool{}}
	w.append(record.Edit{ID: "root", Path: "teams/root", Values: map[string]string{"credential": string(hash)}})
	w.append(record.Edit{ID: "quotes", Path: "teams/root/services/quotes", Credential: hash, Values: map[string]string{"floor": "60"}})
	for i := range daemons {
		id := ids.Daemon(fmt.Sprintf("vm%d", i+1))
		n := &node{w: w, id: id, target: ids.Target("quotes-" + string(id))}
		w.nodes[id] = n
		w.order = append(w.order, n)
	}
	for _, n := range w.order {
		w.set(w.cut, n.id)
	}
	for _, n := range w.order {
		n.start()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cut)
	return w
}

func (w *world) append(r record.Record) {
	w.t.Helper()
	data, err := record.Encode(r)
	must.NoError(w.t, err)
	_, err = w.log.Append(w.t.Context(), platformlog.Settings, data)
	must.NoError(w.t, err)
}

func (n *node) start() {
	t := n.w.t
	c := common.Discard()
	c.Settings.Identity.Daemon = n.id
	n.clock = c.Clock
	n.directory = &directory.Directory{}
	n.gossip = &gossip.Gossip{Common: c}
	n.permit = &permit.Manager{Common: c}
	n.ejector = &ejector.Ejector{Common: c}
	services := []service.Service{c.Clock, n.directory, n, &tail.Tail{Common: c, Log: &n.w.log}, n.gossip, &fakeConfirm{n}, n.permit, n.ejector}
	for _, s := range services {
		n.kernel.Add(s)
	}
	for id := range n.w.nodes {
		n.directory.Put(member.Member{Daemon: id, Incarnation: 1})
	}
	must.NoError(t, n.kernel.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, n.kernel.Stop(time.Second)) })
	target := ejector.Target{ID: n.target, Service: quotes, Slots: 3, Address: "127.0.0.1:1"}
	n.ejector.Track(target)
	n.gossip.Update(func(m *member.Member) {
		m.Targets = []member.Target{{ID: target.ID, Service: quotes, Slots: target.Slots}}
	})
}

// Name implements service.Service.
func (n *node) Name() service.Name { return "dial" }

// Needs implements service.Service.
func (n *node) Needs() []service.Name { return nil }

// Start implements service.Service.
func (n *node) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (n *node) Stop(context.Context) error { return nil }

func (w *world) isCut(id ids.Daemon) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[id]
}

func (w *world) set(m map[ids.Daemon]bool, id ids.Daemon) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m[id] = true
}

// Call implements peer.Caller.
func (n *node) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	other := n.w.nodes[to]
	if other == nil || n.w.isCut(n.id) || n.w.isCut(to) {
		<-ctx.Done()
		return nil, errorx.TimeoutElapsed.New("the network is cut")
	}
	switch m := m.(type) {
	case message.Announce:
		return other.gossip.HandleAnnounce(m), nil
	case message.Probe:
		return other.gossip.HandleProbe(ctx, m), nil
	case message.Permit, message.Release:
		return other.permit.Handle(n.id, m), nil
	case message.Compare:
		return other.ejector.HandleCompare(m), nil
	}
	return nil, errorx.UnsupportedOperation.New("no %T here", m)
}

// Send implements peer.Caller.
func (n *node) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errorx.UnsupportedOperation.New("no requests here")
}

// fakeConfirm is a leasecheck.Checker with the roster of the world.
type fakeConfirm struct{ n *node }

func (c *fakeConfirm) Name() service.Name                          { return "confirm" }
func (c *fakeConfirm) Needs() []service.Name                       { return nil }
func (c *fakeConfirm) Start(context.Context, service.Finder) error { return nil }
func (c *fakeConfirm) Stop(context.Context) error                  { return nil }
func (c *fakeConfirm) Self() (ids.Daemon, ids.Incarnation)         { return c.n.id, 1 }

func (c *fakeConfirm) Confirmed() bool {
	c.n.w.mu.Lock()
	defer c.n.w.mu.Unlock()
	return !c.n.w.unconfirmed[c.n.id]
}

func (c *fakeConfirm) Roster() roster.Roster { return c.n.w.roster() }

func (w *world) roster() roster.Roster {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := roster.Roster{Version: 1 + ids.Offset(len(w.left))}
	for _, n := range w.order {
		if w.left[n.id] {
			continue
		}
		r.Entries = append(r.Entries, roster.Entry{Daemon: n.id, Incarnation: 1})
	}
	return r
}

// steward returns the steward of the service, and a daemon that is not.
func (w *world) steward() (steward, other *node) {
	id, ok := permit.Steward(w.roster(), quotes)
	must.True(w.t, ok)
	for _, n := range w.order {
		if n.id != id {
			other = n
		}
	}
	return w.nodes[id], other
}

// traffic sends every target that admits requests twenty per second; failing
// targets answer with errors.
func (w *world) traffic(d time.Duration, failing ...*node) {
	const gap = 50 * time.Millisecond
	for range d / gap {
		time.Sleep(gap)
		for _, n := range w.order {
			n.serve(failing)
		}
	}
}

func (n *node) serve(failing []*node) {
	if n == n.w.idle || !n.ejector.Admits(n.target, true) {
		return
	}
	for _, s := range failing {
		if s == n {
			n.ejector.Observe(n.target, "", sample.ServerError{})
			return
		}
	}
	n.ejector.Observe(n.target, "", sample.Good{Took: 20 * time.Millisecond})
}

// out returns how many targets are ejected or half-open.
func (w *world) out() int {
	count := 0
	for _, n := range w.order {
		if n.ejector.Ejected(n.target) {
			count++
		}
	}
	return count
}
