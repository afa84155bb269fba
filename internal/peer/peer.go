// Package peer is what services need to speak to other daemons.
//
// # Usage
//
//	peers, err := kernel.Find[peer.Caller](f, "dial")
//	reply, err := peers.Call(ctx, "daemon-7", message.Announce{})
//
// Package dial implements Caller over QUIC; tests implement it by function calls
// with cuts and delays.
package peer

import (
	"context"
	"io"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
)

// Caller asks other daemons.
type Caller interface {
	// Call sends a message and returns the reply.
	Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error)
	// Send hands a request to the gatekeeper on another daemon. Its errors carry a
	// verdict; an answer that comes with an error holds the target's load only.
	Send(ctx context.Context, to ids.Daemon, head call.Head, body io.Reader) (*call.Answer, error)
}
