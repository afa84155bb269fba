package dial

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// remote is the other daemon. It records its connections, and takes from answers
// whether to reply to the next message.
type remote struct {
	listener *quic.Listener
	conns    chan *quic.Conn
	answers  chan bool
}

func newRemote(t *testing.T, c *certs.Certs) *remote {
	t.Helper()
	listener, err := quic.ListenAddr("127.0.0.1:0", c.Server(func(net.Addr, error) {}), &quic.Config{MaxIdleTimeout: idleTimeout})
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &remote{listener: listener, conns: make(chan *quic.Conn, 8), answers: make(chan bool, 8)}
	go r.accept(t.Context())
	return r
}

func (r *remote) accept(ctx context.Context) {
	for {
		conn, err := r.listener.Accept(ctx)
		if err != nil {
			return
		}
		r.conns <- conn
		go r.serve(ctx, conn)
	}
}

func (r *remote) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if <-r.answers {
			_ = wire.Write(stream, message.Probed{Reached: true})
			_ = stream.Close()
		}
	}
}

// fixture is a Dialer with one other daemon in its directory.
type fixture struct {
	dialer    *Dialer
	directory *directory.Directory
	remote    *remote
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	issuer, err := certs.NewIssuer(time.Now(), time.Hour)
	must.NoError(t, err)
	issue := func(id ids.Daemon) *certs.Certs {
		c, err := issuer.Issue(id, time.Now(), time.Hour)
		must.NoError(t, err)
		return c
	}
	c := common.Discard()
	c.Settings.Listen.Peers = "127.0.0.1:0"
	f := fixture{directory: &directory.Directory{}, remote: newRemote(t, issue("vm2")), dialer: &Dialer{Common: c, Certs: issue("vm1")}}
	f.setIncarnation(1)
	var k kernel.Kernel
	k.Add(c.Clock)
	k.Add(f.directory)
	k.Add(f.dialer)
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { _ = k.Stop(time.Second) })
	return f
}

// setIncarnation enters the other daemon in the directory with the incarnation.
func (f fixture) setIncarnation(inc ids.Incarnation) {
	addr := ids.Address(f.remote.listener.Addr().String())
	f.directory.Put(member.Member{Daemon: "vm2", Incarnation: inc, Peers: addr})
}

func (f fixture) call(t *testing.T, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := f.dialer.Call(ctx, "vm2", message.Probe{Daemon: "vm3"})
	return err
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 100 * time.Millisecond
)

func TestLinks(t *testing.T) {
	cases := []struct {
		name  string
		run   func(t *testing.T, f fixture)
		conns int
	}{
		{"calls share a connection", func(t *testing.T, f fixture) {
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
		}, 1},
		{"a restarted daemon gets a new one", func(t *testing.T, f fixture) {
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
			f.setIncarnation(2)
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
		}, 2},
		{"a daemon that stayed silent gets a new one", func(t *testing.T, f fixture) {
			must.Error(t, f.call(t, shortTimeout))
			f.remote.answers <- false
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
		}, 2},
		{"an unused one is closed", func(t *testing.T, f fixture) {
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
			f.dialer.closeIdle(f.dialer.Common.Clock.Now().Add(idleLimit - time.Second))
			conn := <-f.remote.conns
			must.NoError(t, conn.Context().Err())
			f.dialer.closeIdle(f.dialer.Common.Clock.Now().Add(idleLimit))
			<-conn.Context().Done()
			f.remote.answers <- true
			must.NoError(t, f.call(t, longTimeout))
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.run(t, f)
			must.EqOp(t, c.conns, len(f.remote.conns))
		})
	}
}
