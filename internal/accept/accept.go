// Package accept listens for QUIC connections of other daemons and serves them.
//
// # Usage
//
//	k.Add(&accept.Server{Common: c, Certs: certs})
//
// One task serves each connection and one each stream. A peer is identified by the
// name in its certificate.
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
	// deliveryTime is the time that the last bytes of an answer may need before the
	// socket is closed, including the retransmission of lost packets.
	deliveryTime = time.Second
)

// Server accepts connections of other daemons.
type Server struct {
	Common *common.Common
	Certs  *certs.Certs
	// Socket is listened on if it is set; if it is nil, Start opens one at the address
	// in the settings.
	Socket net.PacketConn

	dispatcher *dispatch.Dispatcher
	listener   *quic.Listener
	streams    inflight.Counter
	requests   inflight.Counter
	servedAny  atomic.Bool // whether any request was accepted
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

// Stop waits for the streams in progress and closes the listener. Streams that are
// opened meanwhile are served but not waited for: waiting for them too could keep Stop
// from returning.
func (s *Server) Stop(ctx context.Context) error {
	s.streams.Close()
	err := s.streams.Wait(ctx)
	return errors.Join(err, s.listener.Close(), s.Socket.Close())
}

// logRefused logs a peer whose certificate did not prove its name.
func (s *Server) logRefused(from net.Addr, err error) {
	s.Common.Warn(event.PeerRefused, zap.Stringer("from", from), zap.Error(err))
}

// Drain refuses new requests, and blocks until those in progress have ended and their
// answers have had time to arrive. Control messages are still served.
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

// accept starts a task for each connection.
func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		go s.servePeer(ctx, conn)
	}
}

// servePeer is the task of one connection.
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

// serveStream is the task of one stream, which carries a message, its reply and their
// bodies.
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

// serveControl answers a message that has no body.
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
