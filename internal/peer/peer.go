// Package peer defines how services send messages and requests to other daemons.
//
// # Usage
//
//	peers, err := kernel.Find[peer.Caller](f, "dial")
//	reply, err := peers.Call(ctx, "daemon-7", message.Announce{})
//
// Package dial implements Caller over QUIC. Tests implement it by function calls, with
// partitions and delays.
package peer

import (
	"context"
	"io"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
)

// Caller sends messages and requests to other daemons. Both methods block until there
// is a reply or an error.
type Caller interface {
	// Call sends a message and returns the reply.
	Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error)
	// Send forwards a request to the gatekeeper on another daemon. Its errors have a
	// verdict. An answer that is returned with an error holds only the target's load.
	Send(ctx context.Context, to ids.Daemon, head call.Head, body io.Reader) (*call.Answer, error)
}
