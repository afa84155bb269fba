// Package dial keeps one QUIC connection to each daemon that this one asks.
//
// # Usage
//
//	d, err := kernel.Find[*dial.Dial](f, "dial")
//	reply, err := d.Call(ctx, "daemon-7", message.Announce{})
//	answer, err := d.Send(ctx, "daemon-7", head, body)
package dial

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	handshakeTimeout = time.Second
	// lossTimeout is how long a request waits without any byte from the peer
	// before its connection counts as lost; QUIC keeps it alive meanwhile.
	lossTimeout = 3 * time.Second
)

// Dial holds the connections to other daemons.
type Dial struct {
	Common *common.Common
	Certs  *certs.Certs

	directory *directory.Directory
	transport *quic.Transport

	mu    sync.Mutex
	peers map[ids.Daemon]*peer
}

// peer is the connection to one daemon. Its lock is held while dialing, so that
// requests that arrive meanwhile share the new connection.
type peer struct {
	lock chan struct{}
	conn *quic.Conn
}

// Name implements service.Service.
func (d *Dial) Name() service.Name { return "dial" }

// Needs implements service.Service.
func (d *Dial) Needs() []service.Name { return []service.Name{"directory"} }

// Start implements service.Service.
func (d *Dial) Start(_ context.Context, f service.Finder) error {
	var err error
	if d.directory, err = kernel.Find[*directory.Directory](f, "directory"); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(string(d.Common.Settings.Listen.Peers))
	if err != nil {
		return errorx.Decorate(err, "address for peers")
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return errorx.Decorate(err, "open socket for peers")
	}
	d.transport = &quic.Transport{Conn: socket}
	d.peers = map[ids.Daemon]*peer{}
	return nil
}

// Stop implements service.Service.
func (d *Dial) Stop(context.Context) error {
	return errors.Join(d.transport.Close(), d.transport.Conn.Close())
}

// Call sends a message and returns the reply.
func (d *Dial) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	stream, err := d.open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	if err := wire.Write(stream, m); err != nil {
		return nil, errorx.Decorate(err, "send %T to %s", m, to)
	}
	_ = stream.Close()
	reply, err := wire.Read(stream)
	if err != nil {
		return nil, errorx.Decorate(err, "read reply of %s", to)
	}
	return reply, nil
}

// abort ends both directions of a stream.
func abort(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// open returns a new stream to the daemon.
func (d *Dial) open(ctx context.Context, to ids.Daemon) (*quic.Stream, error) {
	conn, err := d.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errorx.Decorate(err, "open stream to %s", to)
	}
	return stream, nil
}

// connect returns the connection to the daemon and dials where there is none.
func (d *Dial) connect(ctx context.Context, to ids.Daemon) (*quic.Conn, error) {
	p := d.peer(to)
	select {
	case p.lock <- struct{}{}:
		defer func() { <-p.lock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	conn, err := d.dial(ctx, to)
	if err != nil {
		d.note(to, err)
		return nil, errorx.Decorate(err, "connect to %s", to)
	}
	p.conn = conn
	return conn, nil
}

// note logs why a connection failed. A peer that did not prove its name is more
// than a lost one.
func (d *Dial) note(to ids.Daemon, err error) {
	var wrong *tls.CertificateVerificationError
	if errors.As(err, &wrong) {
		d.Common.Warn(event.PeerRefused, zap.String("peer", string(to)), zap.Error(err))
		return
	}
	d.Common.Debug(event.PeerLost, zap.String("peer", string(to)), zap.Error(err))
}

func (d *Dial) peer(to ids.Daemon) *peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[to]
	if !ok {
		p = &peer{lock: make(chan struct{}, 1)}
		d.peers[to] = p
	}
	return p
}

func (d *Dial) dial(ctx context.Context, to ids.Daemon) (*quic.Conn, error) {
	m, ok := d.directory.Member(to)
	if !ok {
		return nil, errorx.IllegalArgument.New("daemon %s is not known", to)
	}
	addr, err := net.ResolveUDPAddr("udp", string(m.Peers))
	if err != nil {
		return nil, errorx.Decorate(err, "address of %s", to)
	}
	// The connection outlives the request that opened it, and QUIC ends a
	// connection together with the context that it was dialed with.
	return d.transport.Dial(context.WithoutCancel(ctx), addr, d.Certs.Client(to), &quic.Config{
		MaxIdleTimeout:       lossTimeout,
		HandshakeIdleTimeout: handshakeTimeout,
	})
}
