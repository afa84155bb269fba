// Package drain completes the requests in flight before a daemon stops.
//
// # Usage
//
//	k.Add(&drain.Drainer{Common: c})
//
// The service needs all services that take part in serving requests, so the kernel stops
// it first, while they still run. Stop reports to the other daemons that this one is
// leaving and refuses new requests with the verdict unrun. It returns when the last request
// of a caller and of another daemon has ended.
package drain

import (
	"context"
	"errors"

	"balsamwharf.example/balsamwharf/internal/accept"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ingress"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Drainer is the service "drain", which stops first.
type Drainer struct {
	Common *common.Common

	gossip     *gossip.Gossip
	gatekeeper *gatekeeper.Gatekeeper
	accept     *accept.Server
	ingress    *ingress.Ingress
}

// Name implements service.Service.
func (d *Drainer) Name() service.Name { return "drain" }

// Needs implements service.Service.
func (d *Drainer) Needs() []service.Name {
	return []service.Name{"gossip", "gatekeeper", "accept", "announce", "ingress"}
}

// Start implements service.Service.
func (d *Drainer) Start(_ context.Context, f service.Finder) error {
	var err error
	if d.gossip, err = kernel.Find[*gossip.Gossip](f, "gossip"); err != nil {
		return err
	}
	if d.gatekeeper, err = kernel.Find[*gatekeeper.Gatekeeper](f, "gatekeeper"); err != nil {
		return err
	}
	if d.accept, err = kernel.Find[*accept.Server](f, "accept"); err != nil {
		return err
	}
	d.ingress, err = kernel.Find[*ingress.Ingress](f, "ingress")
	return err
}

// Stop refuses new requests and blocks until none is in flight or ctx is done.
func (d *Drainer) Stop(ctx context.Context) error {
	d.gossip.Update(func(m *member.Member) { m.Leaving = true })
	d.gatekeeper.DrainAll()
	d.ingress.Close()
	err := d.ingress.Wait(ctx)
	return errors.Join(err, d.accept.Drain(ctx))
}
