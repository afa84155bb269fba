package gatekeeper

import (
	"context"
	"net"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Dialer opens connections to backend servers. Tests put pipes in its place.
type Dialer interface {
	Dial(ctx context.Context, addr ids.Address) (net.Conn, error)
}

// tcp is the Dialer of a running daemon.
type tcpDialer struct{ net.Dialer }

// Dial implements Dialer.
func (d *tcpDialer) Dial(ctx context.Context, addr ids.Address) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", string(addr))
}
