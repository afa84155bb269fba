package ejector

import (
	"context"
	"net"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Dialer opens connections to backend servers. Tests substitute in-memory pipes.
type Dialer interface {
	Dial(ctx context.Context, addr ids.Address) (net.Conn, error)
}

// dial opens a connection for a health check.
func (e *Ejector) dial(ctx context.Context, addr ids.Address) (net.Conn, error) {
	if e.Dialer != nil {
		return e.Dialer.Dial(ctx, addr)
	}
	var tcp net.Dialer
	return tcp.DialContext(ctx, "tcp", string(addr))
}
