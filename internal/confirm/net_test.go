package confirm_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/confirm"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/rosterproposer"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

var errCut = errors.New("cut")

// crash stops a daemon whose last messages are lost.
func (n *network) crash(id ids.Daemon) {
	n.set(func() {
		for i := range 8 {
			n.cut[[2]ids.Daemon{id, name(i)}] = true
		}
	})
	n.stop(id)
}

// network connects daemons by function calls with delays and one-way cuts.
type network struct {
	log logstub.Stub

	mu    sync.Mutex
	nodes map[ids.Daemon]*node
	cut   map[[2]ids.Daemon]bool
	delay map[ids.Daemon]time.Duration
	// logCut names the daemons that can't reach the log.
	logCut map[ids.Daemon]bool
}

// node is one daemon without the services that handle requests.
type node struct {
	net     *network
	id      ids.Daemon
	kernel  *kernel.Kernel
	confirm *confirm.Confirm
	force   *force.Force
	tail    *tail.Tail
	gossip  *gossip.Gossip
}

func newNetwork() *network {
	return &network{
		nodes: map[ids.Daemon]*node{}, cut: map[[2]ids.Daemon]bool{},
		delay: map[ids.Daemon]time.Duration{}, logCut: map[ids.Daemon]bool{},
	}
}

// start starts or restarts a daemon.
func (n *network) start(t *testing.T, i, of int) *node {
	id := name(i)
	c := common.Discard()
	c.Settings.Identity.Daemon = id
	c.Settings.Identity.Centre = ids.Centre(fmt.Sprintf("c%d", i%3))
	for j := range of {
		c.Settings.Peers.Seeds = append(c.Settings.Peers.Seeds, string(name(j))+"@fake")
	}
	x := &node{net: n, id: id, kernel: &kernel.Kernel{}}
	x.confirm = &confirm.Confirm{Common: c}
	x.force = &force.Force{Common: c}
	x.tail = &tail.Tail{Common: c, Log: x}
	x.gossip = &gossip.Gossip{Common: c}
	clock := &timer.Timer{}
	c.Clock = clock
	for _, s := range []service.Service{clock, &directory.Directory{}, x.tail, x, x.gossip, x.force, x.confirm, &rosterproposer.Proposer{Common: c, Log: x}} {
		x.kernel.Add(s)
	}
	must.NoError(t, x.kernel.Start(t.Context()))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = x
	return x
}

func name(i int) ids.Daemon { return ids.Daemon(fmt.Sprintf("d%d", i)) }

func (n *network) stop(id ids.Daemon) {
	n.mu.Lock()
	x := n.nodes[id]
	delete(n.nodes, id)
	n.mu.Unlock()
	if x != nil {
		_ = x.kernel.Stop(time.Second)
	}
}

func (n *network) all() []*node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*node
	for i := range len(n.nodes) + 8 {
		if x, ok := n.nodes[name(i)]; ok {
			all = append(all, x)
		}
	}
	return all
}

// reach returns the node and the delay of a message to it; an error if the link is
// cut or the node is stopped.
func (n *network) reach(from, to ids.Daemon) (*node, time.Duration, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, ok := n.nodes[to]
	if !ok || n.cut[[2]ids.Daemon{from, to}] {
		return nil, 0, errCut
	}
	return x, time.Millisecond + n.delay[from] + n.delay[to], nil
}

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (x *node) Name() service.Name                          { return "dial" }
func (x *node) Needs() []service.Name                       { return nil }
func (x *node) Start(context.Context, service.Finder) error { return nil }
func (x *node) Stop(context.Context) error                  { return nil }

// Call implements peer.Caller; the reply may be lost after it was made.
func (x *node) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	if err := x.pass(ctx, x.id, to); err != nil {
		return nil, err
	}
	other, _, err := x.net.reach(x.id, to)
	if err != nil {
		return nil, err
	}
	var reply message.Message
	switch m := m.(type) {
	case message.LeaseQuery:
		reply = other.confirm.HandleLeaseQuery()
	case message.Announce:
		reply = other.gossip.HandleAnnounce(m)
	case message.Probe:
		reply = other.gossip.HandleProbe(ctx, m)
	default:
		return nil, errCut
	}
	return reply, x.pass(ctx, to, x.id)
}

// pass blocks for the delay of a message; a lost one returns when ctx ends.
func (x *node) pass(ctx context.Context, from, to ids.Daemon) error {
	_, delay, err := x.net.reach(from, to)
	if err != nil {
		<-ctx.Done()
		return errCut
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (x *node) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errCut
}

// Append and Read implement platformlog.Log.
func (x *node) Append(ctx context.Context, s platformlog.Stream, data []byte) (ids.Offset, error) {
	if err := x.passLog(ctx); err != nil {
		return 0, err
	}
	return x.net.log.Append(ctx, s, data)
}

func (x *node) Read(ctx context.Context, s platformlog.Stream, from ids.Offset, limit int, wait time.Duration) (platformlog.Page, error) {
	if err := x.passLog(ctx); err != nil {
		return platformlog.Page{}, err
	}
	return x.net.log.Read(ctx, s, from, limit, wait)
}

func (x *node) passLog(ctx context.Context) error {
	x.net.mu.Lock()
	away, delay := x.net.logCut[x.id], x.net.delay[x.id]
	x.net.mu.Unlock()
	if away {
		return errCut
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (x *node) position() ids.Offset {
	var at ids.Offset
	x.tail.View(func(s *replay.State) { at = s.Offset() })
	return at
}
