// Package dial opens QUIC connections to other daemons and reuses them: one
// connection for each daemon, one stream for each message.
//
// # Usage
//
//	d, err := kernel.Find[*dial.Dialer](f, "dial")
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
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	handshakeTimeout = time.Second
	// keepAlivePeriod keeps a connection open while no data flows in an exchange;
	// sweep closes connections without exchanges.
	keepAlivePeriod = 10 * time.Second
	idleTimeout     = 30 * time.Second
	sweepPeriod     = 10 * time.Second
)

// Dialer calls other daemons. It implements peer.Caller; its methods may be called
// concurrently.
type Dialer struct {
	Common *common.Common
	Certs  *certs.Certs

	directory *directory.Directory
	transport *quic.Transport

	mu    sync.Mutex
	peers map[ids.Daemon]*peer
}

// peer is the connection to one daemon. The channel lock is a mutex that a caller can
// stop waiting for; it is held while dialing, so that concurrent callers share the
// new connection.
type peer struct {
	lock chan struct{}
	link *link
}

// Name implements service.Service.
func (d *Dialer) Name() service.Name { return "dial" }

// Needs implements service.Service.
func (d *Dialer) Needs() []service.Name { return []service.Name{"timer", "directory"} }

// Start implements service.Service.
func (d *Dialer) Start(ctx context.Context, f service.Finder) error {
	var err error
	if d.directory, err = kernel.Find[*directory.Directory](f, "directory"); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(string(d.Common.Settings.Listen.Peers))
	if err != nil {
		return errorx.Decorate(err, "split the listen address for peers")
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return errorx.Decorate(err, "open UDP socket for connections to peers")
	}
	d.transport = &quic.Transport{Conn: socket}
	d.peers = map[ids.Daemon]*peer{}
	go d.sweep(ctx)
	return nil
}

// Stop implements service.Service.
func (d *Dialer) Stop(context.Context) error {
	return errors.Join(d.transport.Close(), d.transport.Conn.Close())
}

// Call sends a message and returns the reply. It blocks until the reply is read or
// the context ends.
func (d *Dialer) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	x, err := d.open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer x.end()
	if err := wire.Write(x, m); err != nil {
		return nil, errorx.Decorate(err, "send %T to %s", m, to)
	}
	_ = x.Close()
	reply, err := x.readReply(ctx)
	if err != nil {
		return nil, errorx.Decorate(err, "read reply of %s", to)
	}
	return reply, nil
}

// connect returns the link to the daemon with one more exchange counted on it. It
// dials a new connection if there is no usable one or the daemon was restarted.
func (d *Dialer) connect(ctx context.Context, to ids.Daemon) (*link, error) {
	p := d.peer(to)
	select {
	case p.lock <- struct{}{}:
		defer func() { <-p.lock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m, ok := d.directory.Member(to)
	if !ok {
		return nil, errorx.IllegalArgument.New("daemon %s is not in the directory", to)
	}
	now := d.Common.Clock.Now()
	if p.link != nil && p.link.incarnation == m.Incarnation && p.link.begin(now) {
		return p.link, nil
	}
	if p.link != nil {
		p.link.retire()
	}
	conn, err := d.dial(ctx, m)
	if err != nil {
		d.logFailure(to, err)
		return nil, errorx.Decorate(err, "connect to %s", to)
	}
	p.link = &link{conn: conn, incarnation: m.Incarnation, active: 1, usedAt: now}
	return p.link, nil
}

// logFailure logs why a connection failed: as a warning if the peer's certificate did
// not prove its name, otherwise at debug level.
func (d *Dialer) logFailure(to ids.Daemon, err error) {
	var certErr *tls.CertificateVerificationError
	if errors.As(err, &certErr) {
		d.Common.Warn(event.PeerRefused, zap.String("peer", string(to)), zap.Error(err))
		return
	}
	d.Common.Debug(event.PeerLost, zap.String("peer", string(to)), zap.Error(err))
}

// peer returns the entry of the daemon and adds it if there is none.
func (d *Dialer) peer(to ids.Daemon) *peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[to]
	if !ok {
		p = &peer{lock: make(chan struct{}, 1)}
		d.peers[to] = p
	}
	return p
}

func (d *Dialer) dial(ctx context.Context, m member.Member) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", string(m.Peers))
	if err != nil {
		return nil, errorx.Decorate(err, "resolve address of %s", m.Daemon)
	}
	// The connection outlives the request that opened it, and QUIC ends a
	// connection together with the context that it was dialed with.
	return d.transport.Dial(context.WithoutCancel(ctx), addr, d.Certs.Client(m.Daemon), &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		HandshakeIdleTimeout: handshakeTimeout,
	})
}

// sweep closes idle connections and removes daemons that left the directory, every
// sweepPeriod until the context ends.
func (d *Dialer) sweep(ctx context.Context) {
	sub := d.Common.Clock.Every(sweepPeriod)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			d.closeIdle(now)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dialer) closeIdle(now units.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		select {
		case p.lock <- struct{}{}:
		default:
			continue // a dial is in progress
		}
		if p.link != nil && p.link.idle(now) {
			p.close()
		}
		if _, known := d.directory.Member(id); !known {
			p.close()
			delete(d.peers, id)
		}
		<-p.lock
	}
}

func (p *peer) close() {
	if p.link != nil {
		p.link.retire()
		p.link = nil
	}
}
