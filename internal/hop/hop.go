// Package hop forwards a request from its entry daemon to the gatekeeper of its target: by
// a function call if that is this daemon's gatekeeper, else over QUIC.
//
// # Usage
//
//	answer, err := h.Forward(ctx, "daemon-7", head, body)
package hop

import (
	"context"
	"errors"
	"io"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Hop sends requests to gatekeepers. It is the service "hop".
type Hop struct {
	Common *common.Common

	peers      peer.Caller
	gatekeeper *gatekeeper.Gatekeeper
}

// Name implements service.Service.
func (h *Hop) Name() service.Name { return "hop" }

// Needs implements service.Service.
func (h *Hop) Needs() []service.Name { return []service.Name{"dial", "gatekeeper"} }

// Start implements service.Service.
func (h *Hop) Start(_ context.Context, f service.Finder) error {
	return errors.Join(
		kernel.Bind(f, "dial", &h.peers),
		kernel.Bind(f, "gatekeeper", &h.gatekeeper),
	)
}

// Stop implements service.Service.
func (h *Hop) Stop(context.Context) error { return nil }

// Forward sends the request to the daemon's gatekeeper and blocks until the head of the
// answer. Errors carry a verdict; an answer that comes with an error holds the target's
// load only.
func (h *Hop) Forward(ctx context.Context, to ids.Daemon, head call.Head, body io.Reader) (*call.Answer, error) {
	if to == h.Common.Settings.Identity.Daemon {
		return h.gatekeeper.Forward(ctx, head, body)
	}
	return h.peers.Send(ctx, to, head, body)
}
