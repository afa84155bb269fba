// Package beacon tells the daemons of the own data centre how busy this gatekeeper is,
// and those of other data centres when its breaker opens or closes.
//
// # Usage
//
//	k.Add(&beacon.Beacon{Common: c})
//
// The reports are single datagrams. A lost one is made up for by the next.
package loadreport

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/loadview"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// pausePerPeer sets the pause between reports by the number of daemons that hear them,
	// so that what a daemon hears stays at about 250 datagrams, or 10 KB, a second.
	pausePerPeer = 4 * time.Millisecond
	// minPause bounds the reports of small data centres.
	minPause = 25 * time.Millisecond
	// refreshAfter is after how long a report is repeated although nothing changed.
	refreshAfter = loadview.ReportTTL / 3
	// maxDatagram is far above the size of a report.
	maxDatagram = 512
)

// report is one datagram.
type report struct {
	From ids.Address  `cbor:"1,keyasint"`
	Load request.Load `cbor:"2,keyasint"`
}

// Reporter sends and receives reports.
type Reporter struct {
	Common *common.Common

	gate     *gate.Gate
	registry *registry.Registry
	loads    *loadview.Table
	socket   *net.UDPConn
}

// Name implements service.Service.
func (b *Reporter) Name() service.Name { return "loadreport" }

// Needs implements service.Service.
func (b *Reporter) Needs() []service.Name {
	return []service.Name{"timer", "gate", "registry", "sight"}
}

// Start implements service.Service.
func (b *Reporter) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(kernel.Bind(f, "gate", &b.gate), kernel.Bind(f, "registry", &b.registry), kernel.Bind(f, "sight", &b.loads)); err != nil {
		return err
	}
	at, err := net.ResolveUDPAddr("udp", string(b.Common.Mesh.Sockets.Peers))
	if err != nil {
		return errorx.Decorate(err, "address for reports")
	}
	if b.socket, err = net.ListenUDP("udp", at); err != nil {
		return errorx.Decorate(err, "listen for reports")
	}
	go b.receiveLoop()
	go b.sendLoop(ctx)
	return nil
}

// Stop closes the socket.
func (b *Reporter) Stop(context.Context) error { return b.socket.Close() }

func (b *Reporter) receiveLoop() {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := b.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer without a listener makes the socket report an error.
			continue
		}
		var r report
		if err := cbor.Unmarshal(buffer[:n], &r); err != nil {
			b.Common.Info(event.PeerUnread, common.Cause(err))
			continue
		}
		b.loads.RecordReport(r.From, r.Load, b.Common.Clock.Now())
	}
}

// sendLoop reports until the context ends.
func (b *Reporter) sendLoop(ctx context.Context) {
	var last request.Load
	var at units.Instant
	for b.Common.Clock.Sleep(ctx, b.pause()) == nil {
		load, now := b.gate.Load(), b.Common.Clock.Now()
		breakerChanged := load.BreakerOpen != last.BreakerOpen
		if !breakerChanged && sameLoad(load, last) && now.Sub(at) < refreshAfter {
			continue
		}
		b.send(load, breakerChanged)
		last, at = load, now
	}
}

// sameLoad reports whether the loads differ in nothing that others decide by.
func sameLoad(a, b request.Load) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.Slots == b.Slots && a.BreakerOpen == b.BreakerOpen && (a.ProbeIn > 0) == (b.ProbeIn > 0)
}

func (b *Reporter) pause() time.Duration {
	return max(time.Duration(len(b.peers(false)))*pausePerPeer, minPause)
}

// peers returns the daemons of the own data centre, or of all.
func (b *Reporter) peers(all bool) []ids.Address {
	own := b.Common.Mesh.Identity.Centre
	var list []ids.Address
	for _, r := range b.registry.All() {
		if r.Address != b.Common.Mesh.Sockets.Known() && (all || r.Centre == own) {
			list = append(list, r.Address)
		}
	}
	return list
}

func (b *Reporter) send(load request.Load, all bool) {
	raw, err := cbor.Marshal(report{From: b.Common.Mesh.Sockets.Known(), Load: load})
	if err != nil {
		b.Common.Warn(event.OwnUnsaid, common.Cause(err))
		return
	}
	for _, to := range b.peers(all) {
		at, err := net.ResolveUDPAddr("udp", string(to))
		if err != nil {
			continue
		}
		// A datagram that can't be sent is like one that is lost.
		_, _ = b.socket.WriteToUDP(raw, at)
	}
}
