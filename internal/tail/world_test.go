package tail_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/relay"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	hash   ids.Hash = "00000000000000000000000000000000000000000000000000000000000000aa"
	school ids.Path = "teams/root/accounts/school"
)

const (
	// logDelay and peerDelay are the one-way delays of a message.
	logDelay  = 15 * time.Millisecond
	peerDelay = 5 * time.Millisecond
)

var errCut = errorx.TimeoutElapsed.New("the network is cut")

// world is a few daemons' tails over a fake network and a stand-in log.
type world struct {
	log   logstub.Stub
	mu    sync.Mutex
	nodes map[ids.Daemon]*node
	// cut holds one-way cuts as "from>to"; the log is "log".
	cut   map[string]bool
	edits int
}

// node is one daemon. It is its own peer.Caller and platformlog.Log.
type node struct {
	w         *world
	id        ids.Daemon
	centre    ids.Centre
	tail      *tail.Tail
	relay     *relay.Relay
	directory *directory.Directory
	kernel    kernel.Kernel
}

func newWorld() *world { return &world{nodes: map[ids.Daemon]*node{}, cut: map[string]bool{}} }

// add starts a daemon that knows all others.
func (w *world) add(t *testing.T, id ids.Daemon, centre ids.Centre) *node {
	t.Helper()
	n := w.node(id, centre)
	w.start(t, n)
	return n
}

// node creates a daemon without starting it.
func (w *world) node(id ids.Daemon, centre ids.Centre) *node {
	c := common.Discard()
	c.Settings.Identity.Daemon, c.Settings.Identity.Centre = id, centre
	n := &node{w: w, id: id, centre: centre, directory: &directory.Directory{}, relay: &relay.Relay{Common: c}}
	n.tail = &tail.Tail{Common: c, Log: n}
	return n
}

func (w *world) start(t *testing.T, n *node) {
	t.Helper()
	for _, a := range w.nodes {
		n.directory.Put(member.Member{Daemon: a.id, Incarnation: 1, Centre: a.centre})
	}
	n.directory.Put(member.Member{Daemon: n.id, Incarnation: 1, Centre: n.centre})
	for _, s := range []service.Service{n.tail.Common.Clock, n.directory, n, n.tail, n.relay} {
		n.kernel.Add(s)
	}
	must.NoError(t, n.kernel.Start(t.Context()))
	for _, a := range w.nodes {
		a.directory.Put(member.Member{Daemon: n.id, Incarnation: 1, Centre: n.centre})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[n.id] = n
}

func (w *world) fill(t *testing.T, centre ids.Centre, count int) {
	t.Helper()
	for i := range count {
		w.add(t, ids.Daemon(fmt.Sprintf("%s-%d", centre, i)), centre)
	}
}

func (w *world) stop() {
	for _, n := range w.nodes {
		_ = n.kernel.Stop(time.Second)
	}
	// Messages in flight arrive before the virtual time ends.
	time.Sleep(time.Second)
}

func (w *world) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[from+">"+to] = cut
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[from+">"+to]
}

// edit appends a change of one account's rate and returns its offset.
func (w *world) edit(t *testing.T, base ids.Offset) ids.Offset {
	t.Helper()
	w.edits++
	e := record.Edit{
		ID: ids.Edit(fmt.Sprint(w.edits)), Path: school, Base: base, Credential: hash,
		Values: map[string]string{"rate": fmt.Sprint(w.edits)},
	}
	return w.append(t, e)
}

// root appends the edit that creates the root team and returns its offset.
func (w *world) root(t *testing.T) ids.Offset {
	t.Helper()
	return w.append(t, record.Edit{ID: "root", Path: "teams/root", Values: map[string]string{"credential": string(hash)}})
}

func (w *world) append(t *testing.T, r record.Record) ids.Offset {
	t.Helper()
	data, err := record.Encode(r)
	must.NoError(t, err)
	at, err := w.log.Append(t.Context(), platformlog.Settings, data)
	must.NoError(t, err)
	return at
}

// assertAt asserts that every daemon is at the offset with the same digest.
func (w *world) assertAt(t *testing.T, at ids.Offset) {
	t.Helper()
	var digests []replay.Digest
	for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
		w.nodes[id].tail.View(func(s *replay.State) {
			must.EqOp(t, at, s.Offset(), must.Sprint(id))
			digests = append(digests, s.Digest())
		})
	}
	must.SliceLen(t, 1, slices.Compact(digests))
}

// staleness returns the time since the node was caught up.
func (n *node) staleness(t *testing.T) time.Duration {
	t.Helper()
	caughtUpAt, known := n.tail.LastCaughtUp()
	must.True(t, known, must.Sprint(n.id))
	return n.tail.Common.Clock.Now().Sub(caughtUpAt)
}

// Name implements service.Service.
func (n *node) Name() service.Name                          { return "dial" }
func (n *node) Needs() []service.Name                       { return nil }
func (n *node) Start(context.Context, service.Finder) error { return nil }
func (n *node) Stop(context.Context) error                  { return nil }
func (n *node) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errCut
}

// Call implements peer.Caller; a message over a cut link is lost.
func (n *node) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	n.w.mu.Lock()
	other := n.w.nodes[to]
	n.w.mu.Unlock()
	if other == nil || n.w.isCut(string(n.id), string(to)) {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(peerDelay)
	var reply message.Message
	var err error
	switch m := m.(type) {
	case message.Pull:
		reply = other.relay.Pull(ctx, m)
	case message.Fetch:
		reply, err = other.relay.Fetch(m)
	}
	time.Sleep(peerDelay)
	if n.w.isCut(string(to), string(n.id)) {
		<-ctx.Done()
		return nil, errCut
	}
	return reply, err
}

// Append implements platformlog.Log.
func (n *node) Append(ctx context.Context, s platformlog.Stream, data []byte) (ids.Offset, error) {
	return n.w.log.Append(ctx, s, data)
}

// Read implements platformlog.Log.
func (n *node) Read(ctx context.Context, s platformlog.Stream, from ids.Offset, limit int, wait time.Duration) (platformlog.Page, error) {
	if n.w.isCut(string(n.id), "log") {
		<-ctx.Done()
		return platformlog.Page{}, errCut
	}
	time.Sleep(logDelay)
	page, err := n.w.log.Read(ctx, s, from, limit, wait)
	time.Sleep(logDelay)
	return page, err
}
