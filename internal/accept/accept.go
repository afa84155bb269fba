// Package accept serves the connections that other daemons open.
//
// # Usage
//
//	k.Add(&accept.Accept{Common: c, Certs: certs})
//
// One task serves each peer and one each stream. A peer is known by the name in
// its certificate.
package accept

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/dispatch"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/inflight"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	idleTimeout = 30 * time.Second
	maxStreams  = 4096
	// deliveryTime is what the last bytes of an answer may need, with repeats of
	// lost packets, before the socket closes.
	deliveryTime = time.Second
)

// Server listens for other daemons.
type Server struct {
	Common *common.Common
	Certs  *certs.Certs
	// Socket is used instead of opening one at the settings' address.
	Socket net.PacketConn

	dispatch *dispatch.Dispatcher
	listener *quic.Listener
	streams  inflight.Counter
	requests inflight.Counter
	served   atomic.Bool
}

// Name implements service.Service.
func (a *Server) Name() service.Name { return "accept" }

// Needs implements service.Service.
func (a *Server) Needs() []service.Name { return []service.Name{"dispatch"} }

// Start implements service.Service.
func (a *Server) Start(ctx context.Context, f service.Finder) error {
	var err error
	if a.dispatch, err = kernel.Find[*dispatch.Dispatcher](f, "dispatch"); err != nil {
		return err
	}
	if a.Socket == nil {
		if a.Socket, err = net.ListenPacket("udp", string(a.Common.Settings.Listen.Peers)); err != nil {
			return errorx.Decorate(err, "listen for peers")
		}
	}
	config := &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxStreams}
	if a.listener, err = quic.Listen(a.Socket, a.Certs.Server(a.refused), config); err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	go a.accept(ctx)
	return nil
}

// Stop waits for the streams in progress and closes the listener. Streams that open
// meanwhile are served, but not waited for, so that Stop comes to an end.
func (a *Server) Stop(ctx context.Context) error {
	a.streams.Close()
	late := a.streams.Wait(ctx)
	return errors.Join(late, a.listener.Close(), a.Socket.Close())
}

// refused logs a peer that did not prove its name.
func (a *Server) refused(from net.Addr, err error) {
	a.Common.Warn(event.PeerRefused, zap.Stringer("from", from), zap.Error(err))
}

// Drain refuses new requests and returns when those in progress have ended and
// their answers have had time to arrive. Control messages are served on.
func (a *Server) Drain(ctx context.Context) error {
	a.requests.Close()
	if err := a.requests.Wait(ctx); err != nil {
		return err
	}
	if !a.served.Load() {
		return nil
	}
	return a.Common.Clock.Sleep(ctx, deliveryTime)
}

// accept starts a task for each peer that connects.
func (a *Server) accept(ctx context.Context) {
	for {
		conn, err := a.listener.Accept(ctx)
		if err != nil {
			return
		}
		go a.serve(ctx, conn)
	}
}

// serve is the task of one peer.
func (a *Server) serve(ctx context.Context, conn *quic.Conn) {
	from, err := certs.NameOf(conn.ConnectionState().TLS)
	if err != nil {
		a.Common.Warn(event.PeerRefused, zap.Error(err))
		_ = conn.CloseWithError(0, "certificate has no name")
		return
	}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		counted := a.streams.Begin()
		go func() {
			a.exchange(ctx, from, stream)
			if counted {
				a.streams.End()
			}
		}()
	}
}

// exchange is the task of one stream: a message, its reply and their bodies.
func (a *Server) exchange(ctx context.Context, from ids.Daemon, stream *quic.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	m, err := wire.Read(stream)
	if err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	switch m := m.(type) {
	case message.Request:
		a.request(ctx, m, stream)
	default:
		a.control(ctx, from, m, stream)
	}
	stream.CancelRead(0)
}

// control answers a message that has no body.
func (a *Server) control(ctx context.Context, from ids.Daemon, m message.Message, stream *quic.Stream) {
	reply, err := a.dispatch.Control(ctx, from, m)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if err := wire.Write(stream, reply); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}
