package app

import (
	"net"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Sockets are listeners that are already open; nil ones are opened at the
// addresses in the settings.
type Sockets struct {
	Callers   net.Listener
	Announce  net.Listener
	Operators net.Listener
	Peers     net.PacketConn
}

// openUnassigned opens the sockets whose address has port 0 and writes the assigned
// addresses into the settings, since other daemons must receive them.
func (s *Sockets) openUnassigned(l *settings.Listen) error {
	if err := listenUnassigned(&s.Callers, &l.Callers); err != nil {
		return err
	}
	if err := listenUnassigned(&s.Announce, &l.Announce); err != nil {
		return err
	}
	if err := listenUnassigned(&s.Operators, &l.Operators); err != nil {
		return err
	}
	if s.Peers != nil || !hasPortZero(l.Peers) {
		return nil
	}
	socket, err := net.ListenPacket("udp", string(l.Peers))
	if err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	s.Peers = socket
	l.Peers = ids.Address(socket.LocalAddr().String())
	return nil
}

// listenUnassigned opens a TCP listener if none is open and the address has port 0. It
// updates the address to the assigned port.
func listenUnassigned(listener *net.Listener, address *ids.Address) error {
	if *listener != nil || !hasPortZero(*address) {
		return nil
	}
	l, err := net.Listen("tcp", string(*address))
	if err != nil {
		return errorx.Decorate(err, "listen at %s", *address)
	}
	*listener = l
	*address = ids.Address(l.Addr().String())
	return nil
}

// hasPortZero reports whether the operating system assigns the port of the address.
func hasPortZero(a ids.Address) bool {
	_, port, err := net.SplitHostPort(string(a))
	return err == nil && port == "0"
}
