// Package dispatch passes each message of another daemon to the service that answers
// it.
//
// # Usage
//
//	reply, err := d.Control(ctx, from, m)
//	answer, err := d.Request(ctx, head, body)
package dispatch

import (
	"context"
	"errors"
	"io"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/claim"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/confirm"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/guard"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/relay"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Dispatcher selects the answering service by the type of a message. Its methods may be
// called concurrently.
type Dispatcher struct {
	Common *common.Common

	gatekeeper *gatekeeper.Gatekeeper
	gossip     *gossip.Gossip
	burn       *burn.Tracker
	lender     *lender.Lender
	guard      *guard.Guard
	relay      *relay.Relay
	confirm    *confirm.Confirm
	permit     *permit.Manager
	ejector    *ejector.Ejector
}

// Name implements service.Service.
func (d *Dispatcher) Name() service.Name { return "dispatch" }

// Needs implements service.Service.
func (d *Dispatcher) Needs() []service.Name {
	return []service.Name{
		"gatekeeper",
		"gossip",
		"relay",
		"confirm",
		"lender",
		"guard",
		"burn",
		"permit",
		"ejector",
	}
}

// Start implements service.Service.
func (d *Dispatcher) Start(_ context.Context, f service.Finder) error {
	return errors.Join(
		kernel.Bind(f, "gatekeeper", &d.gatekeeper),
		kernel.Bind(f, "gossip", &d.gossip),
		kernel.Bind(f, "relay", &d.relay),
		kernel.Bind(f, "confirm", &d.confirm),
		kernel.Bind(f, "lender", &d.lender),
		kernel.Bind(f, "guard", &d.guard),
		kernel.Bind(f, "burn", &d.burn),
		kernel.Bind(f, "permit", &d.permit),
		kernel.Bind(f, "ejector", &d.ejector),
	)
}

// Stop implements service.Service.
func (d *Dispatcher) Stop(context.Context) error { return nil }

// Request runs a request at this daemon's gatekeeper. The caller closes the
// answer's body.
func (d *Dispatcher) Request(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error) {
	return d.gatekeeper.Forward(ctx, head, body)
}

// Control answers a message that has no body. It returns an error if the message
// names another daemon than from as its sender, or if no service answers its type.
func (d *Dispatcher) Control(ctx context.Context, from ids.Daemon, m message.Message) (message.Message, error) {
	if sender, ok := claim.Sender(m); ok && sender != from {
		d.Common.Warn(event.ClaimRefused, zap.String("peer", string(from)), zap.String("claim", string(sender)))
		return nil, errorx.IllegalArgument.New("message of %s names %s as its sender", from, sender)
	}
	switch m := m.(type) {
	case message.Announce:
		return d.gossip.HandleAnnounce(m), nil
	case message.Borrow:
		return d.lender.Lend(from, m), nil
	case message.Handover:
		return d.lender.AcceptHandover(m), nil
	case message.GuardBegin:
		return d.guard.HandleBegin(ctx, m), nil
	case message.GuardLookup:
		return d.guard.HandleLookup(m), nil
	case message.GuardCopy:
		return d.guard.HandleCopy(from, m), nil
	case message.GuardEnd:
		return d.guard.HandleEnd(ctx, from, m), nil
	case message.TallyQuery:
		return message.TallyReply{Tally: d.burn.Tally()}, nil
	case message.Probe:
		return d.gossip.HandleProbe(ctx, m), nil
	case message.Pull:
		return d.relay.Pull(ctx, m), nil
	case message.Fetch:
		return d.relay.Fetch(m)
	case message.LeaseQuery:
		return d.confirm.HandleLeaseQuery(), nil
	case message.Permit, message.Release:
		return d.permit.Handle(from, m), nil
	case message.Compare:
		return d.ejector.HandleCompare(m), nil
	default:
		return nil, errorx.IllegalArgument.New("no service answers a %T", m)
	}
}
