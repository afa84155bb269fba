package bench

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/app"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/dial"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/slopes"
	"balsamwharf.example/balsamwharf/internal/usage"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	loopback    = "127.0.0.1:0"
	certValid   = time.Hour
	stopTimeout = 5 * time.Second
	// idle is longer than connections last without use.
	idle = 4 * time.Second
)

// counted counts the bytes of UDP that pass a socket.
type counted struct {
	net.PacketConn
	bytes atomic.Int64
}

// ReadFrom implements net.PacketConn.
func (c *counted) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.bytes.Add(int64(n))
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (c *counted) WriteTo(p []byte, to net.Addr) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.PacketConn.WriteTo(p, to)
}

// line is a daemon with the means to connect to it.
type line struct {
	app    *app.App
	issuer *certs.Issuer
	socket net.PacketConn
	count  *counted
	calls  []*dial.Dialer
	kernel []*kernel.Kernel
}

// measureLink measures connections and calls between daemons over loopback. The
// bytes are counted in a run of their own, because counting slows QUIC down.
func measureLink(ctx context.Context, e effort, s *slopes.Slopes) error {
	l, err := newLine(false)
	if err != nil {
		return err
	}
	defer l.close()
	for i := range e.links {
		if err := l.add(ctx, i); err != nil {
			return err
		}
	}
	heap, before := usage.Heap(), usage.Now()
	if err := l.open(ctx); err != nil {
		return err
	}
	s.Work.Handshake = micros(usage.Now().Since(before)) / float64(e.links)
	s.Memory.Link = (float64(usage.Heap()) - float64(heap)) / float64(e.links)
	if s.Work.Resume, err = l.resume(ctx); err != nil {
		return err
	}
	if s.Work.Call, err = l.call(ctx, e.calls); err != nil {
		return err
	}
	s.Work.Wire, err = wireBytes(ctx, e.calls)
	return err
}

// wireBytes is what QUIC adds to a question and its answer.
func wireBytes(ctx context.Context, calls int) (float64, error) {
	l, err := newLine(true)
	if err != nil {
		return 0, err
	}
	defer l.close()
	if err := l.add(ctx, 0); err != nil {
		return 0, err
	}
	if err := l.open(ctx); err != nil {
		return 0, err
	}
	before := l.count.bytes.Load()
	if _, err := l.call(ctx, calls); err != nil {
		return 0, err
	}
	size := 0
	for _, m := range []message.Message{message.Announce{}, message.AnnounceReply{}} {
		data, err := wire.Encode(m)
		if err != nil {
			return 0, err
		}
		size += len(data)
	}
	return float64(l.count.bytes.Load()-before)/float64(calls) - float64(size), nil
}

func newLine(count bool) (*line, error) {
	l := &line{}
	var err error
	if l.issuer, err = certs.NewIssuer(time.Now(), certValid); err != nil {
		return nil, err
	}
	cert, err := l.issuer.Issue("vm0", time.Now(), certValid)
	if err != nil {
		return nil, err
	}
	if l.socket, err = net.ListenPacket("udp", loopback); err != nil {
		return nil, err
	}
	sockets := app.Sockets{Peers: l.socket}
	if count {
		l.count = &counted{PacketConn: l.socket}
		sockets.Peers = l.count
	}
	for _, into := range []*net.Listener{&sockets.Callers, &sockets.Announce, &sockets.Operators} {
		if *into, err = net.Listen("tcp", loopback); err != nil {
			return nil, err
		}
	}
	set := settings.Daemon{}
	set.Identity = settings.Identity{Daemon: "vm0", Centre: "one", Region: "home"}
	set.Listen.Peers = ids.Address(l.socket.LocalAddr().String())
	l.app = &app.App{Settings: set, Certs: cert, Log: &logstub.Stub{}, Logger: zap.NewNop(), Sockets: sockets}
	return l, l.app.Start(context.Background())
}

// open opens a connection from each caller.
func (l *line) open(ctx context.Context) error {
	for _, d := range l.calls {
		if _, err := d.Call(ctx, "vm0", message.Announce{}); err != nil {
			return err
		}
	}
	return nil
}

// resume opens all connections again after they have ended for want of use.
func (l *line) resume(ctx context.Context) (float64, error) {
	time.Sleep(idle)
	before := usage.Now()
	if err := l.open(ctx); err != nil {
		return 0, err
	}
	return micros(usage.Now().Since(before)) / float64(len(l.calls)), nil
}

// add makes another daemon's side, without a connection yet.
func (l *line) add(ctx context.Context, i int) error {
	id := ids.Daemon(fmt.Sprintf("caller%d", i))
	cert, err := l.issuer.Issue(id, time.Now(), certValid)
	if err != nil {
		return err
	}
	c := common.Discard()
	c.Settings.Identity.Daemon = id
	c.Settings.Listen.Peers = loopback
	known := &directory.Directory{}
	known.Put(member.Member{Daemon: "vm0", Incarnation: 1, Peers: ids.Address(l.socket.LocalAddr().String())})
	d := &dial.Dialer{Common: c, Certs: cert}
	k := &kernel.Kernel{}
	for _, s := range []service.Service{c.Clock, known, d} {
		k.Add(s)
	}
	if err := k.Start(ctx); err != nil {
		return err
	}
	l.kernel = append(l.kernel, k)
	l.calls = append(l.calls, d)
	return nil
}

// call returns the processor time of one question with its answer, both ends.
func (l *line) call(ctx context.Context, calls int) (float64, error) {
	d := l.calls[len(l.calls)-1]
	var failed error
	spent := each(calls, func(int) {
		if _, err := d.Call(ctx, "vm0", message.Announce{}); err != nil {
			failed = err
		}
	})
	return spent, failed
}

func (l *line) close() {
	for _, k := range l.kernel {
		_ = k.Stop(stopTimeout)
	}
	_ = l.app.Stop()
}
