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

// other is a daemon that counts its connections and answers when it is told to.
type other struct {
	listener *quic.Listener
	conns    chan *quic.Conn
	answers  chan bool
}

func listen(t *testing.T, c *certs.Certs) *other {
	t.Helper()
	listener, err := quic.ListenAddr("127.0.0.1:0", c.Server(func(net.Addr, error) {}), &quic.Config{MaxIdleTimeout: idleTimeout})
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	o := &other{listener: listener, conns: make(chan *quic.Conn, 8), answers: make(chan bool, 8)}
	go o.accept(t.Context())
	return o
}

func (o *other) accept(ctx context.Context) {
	for {
		conn, err := o.listener.Accept(ctx)
		if err != nil {
			return
		}
		o.conns <- conn
		go o.serve(ctx, conn)
	}
}

func (o *other) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if <-o.answers {
			_ = wire.Write(stream, message.Probed{Reached: true})
			_ = stream.Close()
		}
	}
}

// world is a Dial that knows one other daemon.
type world struct {
	dial      *Dialer
	directory *directory.Directory
	other     *other
}

func start(t *testing.T) world {
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
	w := world{directory: &directory.Directory{}, other: listen(t, issue("vm2")), dial: &Dialer{Common: c, Certs: issue("vm1")}}
	w.know(1)
	var k kernel.Kernel
	k.Add(c.Clock)
	k.Add(w.directory)
	k.Add(w.dial)
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { _ = k.Stop(time.Second) })
	return w
}

// know enters the other daemon as an incarnation.
func (w world) know(inc ids.Incarnation) {
	addr := ids.Address(w.other.listener.Addr().String())
	w.directory.Put(member.Member{Daemon: "vm2", Incarnation: inc, Peers: addr})
}

func (w world) ask(t *testing.T, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := w.dial.Call(ctx, "vm2", message.Probe{Daemon: "vm3"})
	return err
}

const (
	ample = 10 * time.Second
	short = 100 * time.Millisecond
)

func TestLinks(t *testing.T) {
	cases := []struct {
		name  string
		run   func(t *testing.T, w world)
		conns int
	}{
		{"calls share a connection", func(t *testing.T, w world) {
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
		}, 1},
		{"a restarted daemon gets a new one", func(t *testing.T, w world) {
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
			w.know(2)
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
		}, 2},
		{"a daemon that stayed silent gets a new one", func(t *testing.T, w world) {
			must.Error(t, w.ask(t, short))
			w.other.answers <- false
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
		}, 2},
		{"an unused one is closed", func(t *testing.T, w world) {
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
			w.dial.closeIdle(w.dial.Common.Clock.Now().Add(idleLimit - time.Second))
			conn := <-w.other.conns
			must.NoError(t, conn.Context().Err())
			w.dial.closeIdle(w.dial.Common.Clock.Now().Add(idleLimit))
			<-conn.Context().Done()
			w.other.answers <- true
			must.NoError(t, w.ask(t, ample))
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := start(t)
			c.run(t, w)
			must.EqOp(t, c.conns, len(w.other.conns))
		})
	}
}
