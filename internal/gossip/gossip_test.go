package gossip_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/fakenet"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// node is the membership part of one daemon on a fake network.
type node struct {
	id        ids.Daemon
	kernel    kernel.Kernel
	directory *directory.Directory
	gossip    *gossip.Gossip
}

func (n *node) Control(ctx context.Context, _ ids.Daemon, m message.Message) (message.Message, error) {
	switch m := m.(type) {
	case message.Announce:
		return n.gossip.HandleAnnounce(m), nil
	case message.Probe:
		return n.gossip.HandleProbe(ctx, m), nil
	default:
		return nil, errorx.IllegalArgument.New("unexpected %T", m)
	}
}

func (n *node) Request(context.Context, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errorx.NotImplemented.New("no requests here")
}

// fleet is a number of nodes on one network.
type fleet struct {
	net   fakenet.Net
	nodes []*node
}

func name(i int) ids.Daemon { return ids.Daemon(fmt.Sprintf("vm%d", i)) }

// start starts n nodes in two data centres; the first is the seed of all.
func start(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{}
	f.net.SetDelay(time.Millisecond)
	for i := range n {
		f.nodes = append(f.nodes, f.run(t, i))
	}
	return f
}

func (f *fleet) run(t *testing.T, i int) *node {
	t.Helper()
	c := common.Discard()
	c.Settings.Identity = settings.Identity{Daemon: name(i), Centre: ids.Centre(fmt.Sprintf("centre%d", i%2))}
	c.Settings.Peers.Seeds = []string{"vm0@127.0.0.1:1"}
	nd := &node{id: name(i), directory: &directory.Directory{Clock: c.Clock}, gossip: &gossip.Gossip{Common: c}}
	nd.kernel.Add(c.Clock)
	nd.kernel.Add(nd.directory)
	nd.kernel.Add(f.net.Join(nd.id, nd))
	nd.kernel.Add(nd.gossip)
	must.NoError(t, nd.kernel.Start(t.Context()))
	return nd
}

func (f *fleet) stop(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		_ = n.kernel.Stop(time.Second)
	}
	synctest.Wait()
}

// everyone reports whether all nodes but the excepted one see want daemons as
// reachable.
func (f *fleet) everyone(want int, except ...ids.Daemon) bool {
	for _, n := range f.nodes {
		if len(except) > 0 && n.id == except[0] {
			continue
		}
		if len(n.directory.Reachable()) != want {
			return false
		}
	}
	return true
}

func TestMembership(t *testing.T) {
	const n = 12
	cases := []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{"a change is known everywhere within 2 s", func(t *testing.T, f *fleet) {
			f.nodes[5].gossip.Update(func(m *member.Member) {
				m.Targets = []member.Target{{ID: "t", Service: "a/b", Slots: 1, Leaving: true}}
			})
			time.Sleep(2 * time.Second)
			for _, nd := range f.nodes {
				m, _ := nd.directory.Member(name(5))
				must.Len(t, 1, m.Targets)
			}
		}},
		{"a daemon that can send but not be reached is lost within 8 s", func(t *testing.T, f *fleet) {
			f.net.Leave(name(7))
			time.Sleep(8 * time.Second)
			must.True(t, f.everyone(n-1, name(7)))
			must.True(t, f.nodes[0].directory.IsUnreachable(name(7)))
		}},
		{"a silent daemon is lost within 8 s, and no other", func(t *testing.T, f *fleet) {
			f.net.Leave(name(7))
			for i := range n {
				f.net.Cut(name(7), name(i))
			}
			time.Sleep(8 * time.Second)
			must.True(t, f.everyone(n-1, name(7)))
			must.True(t, f.nodes[0].directory.IsUnreachable(name(7)))
		}},
		{"a way that is cut in one direction loses nobody", func(t *testing.T, f *fleet) {
			for i := 1; i < n; i++ {
				if i != 3 {
					f.net.Cut(name(2), name(3))
				}
			}
			time.Sleep(30 * time.Second)
			must.True(t, f.everyone(n))
		}},
		{"two halves find each other after an hour", func(t *testing.T, f *fleet) {
			f.split(n, f.net.Cut)
			time.Sleep(time.Hour)
			must.True(t, f.everyone(n/2))
			f.split(n, f.net.Mend)
			time.Sleep(time.Minute)
			must.True(t, f.everyone(n))
		}},
		{"a daemon that left is gone at once", func(t *testing.T, f *fleet) {
			must.NoError(t, f.nodes[9].kernel.Stop(time.Second))
			f.net.Leave(name(9))
			time.Sleep(2 * time.Second)
			must.True(t, f.everyone(n-1, name(9)))
			must.False(t, f.nodes[0].directory.IsUnreachable(name(9)))
		}},
		{"a restarted daemon with an older clock is believed", func(t *testing.T, f *fleet) {
			f.nodes[0].directory.Put(member.Member{Daemon: name(4), Incarnation: 1 << 62, Centre: "centre0"})
			f.net.Leave(name(4))
			f.nodes[4] = f.run(t, 4)
			time.Sleep(15 * time.Second)
			m, _ := f.nodes[0].directory.Member(name(4))
			must.EqOp(t, f.nodes[4].gossip.LocalMember().Revision(), m.Revision())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := start(t, n)
				defer f.stop(t)
				time.Sleep(5 * time.Second)
				must.True(t, f.everyone(n))
				c.run(t, f)
			})
		})
	}
}

// split changes every link between the first and the second half.
func (f *fleet) split(n int, change func(from, to ids.Daemon)) {
	for i := range n / 2 {
		for j := n / 2; j < n; j++ {
			change(name(i), name(j))
			change(name(j), name(i))
		}
	}
}

// While nothing changes a daemon sends a bounded number of messages, however large
// the fleet is.
func TestTrafficAtRest(t *testing.T) {
	perDaemon := func(n int) float64 {
		var rate float64
		synctest.Test(t, func(t *testing.T) {
			f := start(t, n)
			defer f.stop(t)
			time.Sleep(20 * time.Second)
			before := f.net.Calls()
			time.Sleep(20 * time.Second)
			rate = float64(f.net.Calls()-before) / 20 / float64(n)
		})
		return rate
	}
	small, large := perDaemon(8), perDaemon(64)
	t.Logf("messages per daemon and second, both directions: %.1f with 8 daemons, %.1f with 64", small, large)
	must.Less(t, 2*small, large)
}
