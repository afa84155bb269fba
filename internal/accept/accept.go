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

	dispatcher *dispatch.Dispatcher
	listener   *quic.Listener
	streams    inflight.Counter
	requests   inflight.Counter
	servedAny  atomic.Bool
}

// Name implements service.Service.
func (s *Server) Name() service.Name { return "accept" }

// Needs implements service.Service.
func (s *Server) Needs() []service.Name { return []service.Name{"dispatch"} }

// Start implements service.Service.
func (s *Server) Start(ctx context.Context, f service.Finder) error {
	var err error
	if s.dispatcher, err = kernel.Find[*dispatch.Dispatcher](f, "dispatch"); err != nil {
		return err
	}
	if s.Socket == nil {
		if s.Socket, err = net.ListenPacket("udp", string(s.Common.Settings.Listen.Peers)); err != nil {
			return errorx.Decorate(err, "listen for peers")
		}
	}
	config := &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: maxStreams}
	if s.listener, err = quic.Listen(s.Socket, s.Certs.Server(s.logRefused), config); err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	go s.accept(ctx)
	return nil
}

// Stop waits for the streams in progress and closes the listener. Streams that open
// meanwhile are served, but not waited for, so that Stop comes to an end.
func (s *Server) Stop(ctx context.Context) error {
	s.streams.Close()
	err := s.streams.Wait(ctx)
	return errors.Join(err, s.listener.Close(), s.Socket.Close())
}

// refused logs a peer that did not prove its name.
func (s *Server) logRefused(from net.Addr, err error) {
	s.Common.Warn(event.PeerRefused, zap.Stringer("from", from), zap.Error(err))
}

// Drain refuses new requests and returns when those in progress have ended and
// their answers have had time to arrive. Control messages are served on.
func (s *Server) Drain(ctx context.Context) error {
	s.requests.Close()
	if err := s.requests.Wait(ctx); err != nil {
		return err
	}
	if !s.servedAny.Load() {
		return nil
	}
	return s.Common.Clock.Sleep(ctx, deliveryTime)
}

// accept starts a task for each peer that connects.
func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		go s.servePeer(ctx, conn)
	}
}

// serve is the task of one peer.
func (s *Server) servePeer(ctx context.Context, conn *quic.Conn) {
	from, err := certs.NameOf(conn.ConnectionState().TLS)
	if err != nil {
		s.Common.Warn(event.PeerRefused, zap.Error(err))
		_ = conn.CloseWithError(0, "certificate has no name")
		return
	}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		counted := s.streams.Begin()
		go func() {
			s.serveStream(ctx, from, stream)
			if counted {
				s.streams.End()
			}
		}()
	}
}

// exchange is the task of one stream: a message, its reply and their bodies.
func (s *Server) serveStream(ctx context.Context, from ids.Daemon, stream *quic.Stream) {
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
		s.serveRequest(ctx, m, stream)
	default:
		s.serveControl(ctx, from, m, stream)
	}
	stream.CancelRead(0)
}

// control answers a message that has no body.
func (s *Server) serveControl(ctx context.Context, from ids.Daemon, m message.Message, stream *quic.Stream) {
	reply, err := s.dispatcher.Control(ctx, from, m)
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
