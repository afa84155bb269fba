package gatekeeper

import (
	"context"
	"net"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Dialer opens connections to backend servers. Tests replace it by one that returns
// in-memory pipes.
type Dialer interface {
	Dial(ctx context.Context, addr ids.Address) (net.Conn, error)
}

// tcpDialer is the Dialer of a running daemon.
type tcpDialer struct{ net.Dialer }

// Dial implements Dialer.
func (d *tcpDialer) Dial(ctx context.Context, addr ids.Address) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", string(addr))
}
