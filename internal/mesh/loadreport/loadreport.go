// Package loadreport sends load reports of this gatekeeper to the daemons of its data centre,
// and also to those of other data centres when its circuit breaker opens or closes.
//
// # Usage
//
//	k.Add(&loadreport.Reporter{Common: c})
//
// A report is a single UDP datagram. A lost one is superseded by the next.
package loadreport

import (
	"context"
	"errors"
	"maps"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/feed"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/loadview"
	"balsamwharf.example/balsamwharf/internal/mesh/progress"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// pausePerPeer makes the pause between reports proportional to the number of receivers, so
	// that a daemon receives about 250 datagrams, or 10 KB, a second.
	pausePerPeer = 4 * time.Millisecond
	// minPause is the pause between reports in small data centres.
	minPause = 25 * time.Millisecond
	// refreshAfter is when a report is sent again although the load has not changed.
	refreshAfter = loadview.ReportTTL / 3
	// maxDatagram is the receive buffer in bytes, far above the size of a report.
	maxDatagram = 512
)

// report is the content of one datagram.
type report struct {
	From ids.Address  `cbor:"1,keyasint"`
	Load request.Load `cbor:"2,keyasint"`
	// Topics says how far the sender has read the store. It goes to the own data centre only.
	Topics map[keyed.Topic]progress.Progress `cbor:"3,keyasint,omitempty"`
}

// Reporter sends load reports and receives those of other daemons.
type Reporter struct {
	Common *common.Common

	gate     *gate.Gate
	registry *registry.Registry
	loads    *loadview.Table
	feed     *feed.Feed
	socket   *net.UDPConn
}

// Name implements service.Service.
func (b *Reporter) Name() service.Name { return "loadreport" }

// Needs implements service.Service.
func (b *Reporter) Needs() []service.Name {
	return []service.Name{"timer", "gate", "registry", "loadview", "feed"}
}

// Start implements service.Service.
func (b *Reporter) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(kernel.Bind(f, "gate", &b.gate), kernel.Bind(f, "registry", &b.registry), kernel.Bind(f, "loadview", &b.loads), kernel.Bind(f, "feed", &b.feed)); err != nil {
		return err
	}
	at, err := net.ResolveUDPAddr("udp", string(b.Common.Mesh.Sockets.Peers))
	if err != nil {
		return errorx.Decorate(err, "resolve the address for load reports")
	}
	if b.socket, err = net.ListenUDP("udp", at); err != nil {
		return errorx.Decorate(err, "listen for load reports")
	}
	go b.receiveLoop()
	go b.sendLoop(ctx)
	return nil
}

// Stop closes the socket, which ends receiveLoop.
func (b *Reporter) Stop(context.Context) error { return b.socket.Close() }

// receiveLoop records the reports of other daemons until the socket is closed.
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
			b.Common.Info(event.PeerRecordInvalid, common.Cause(err))
			continue
		}
		b.loads.RecordReport(r.From, r.Load, b.Common.Clock.Now())
		b.feed.Observe(r.From, r.Topics)
	}
}

// sendLoop sends load reports until the context ends.
func (b *Reporter) sendLoop(ctx context.Context) {
	var last report
	var at units.Instant
	for b.Common.Clock.Sleep(ctx, b.pause()) == nil {
		r := report{From: b.Common.Mesh.Sockets.AdvertisedAddress(), Load: b.gate.Load(), Topics: b.feed.Progress()}
		now := b.Common.Clock.Now()
		if sameLoad(r.Load, last.Load) && maps.Equal(r.Topics, last.Topics) && now.Sub(at) < refreshAfter {
			continue
		}
		b.send(r, b.peers(true))
		if r.Load.BreakerOpen != last.Load.BreakerOpen {
			b.send(report{From: r.From, Load: r.Load}, b.peers(false))
		}
		last, at = r, now
	}
}

// sameLoad reports whether the loads are equal in everything that receivers use for decisions.
func sameLoad(a, b request.Load) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.Slots == b.Slots && a.BreakerOpen == b.BreakerOpen && (a.ProbeIn > 0) == (b.ProbeIn > 0) &&
		(a.WarmUp > 0) == (b.WarmUp > 0) && a.ColdRoom == b.ColdRoom
}

// pause returns the time until the next report.
func (b *Reporter) pause() time.Duration {
	return max(time.Duration(len(b.peers(true)))*pausePerPeer, minPause)
}

// peers returns the other daemons of the own data centre if near is set, or else those of all
// other data centres.
func (b *Reporter) peers(near bool) []ids.Address {
	own := b.Common.Mesh.Identity.Centre
	var list []ids.Address
	for _, r := range b.registry.All() {
		if r.Address != b.Common.Mesh.Sockets.AdvertisedAddress() && near == (r.Centre == own) {
			list = append(list, r.Address)
		}
	}
	return list
}

// send sends one datagram to each peer. Errors are ignored like lost datagrams.
func (b *Reporter) send(r report, peers []ids.Address) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		b.Common.Warn(event.RegistrationWriteFailed, common.Cause(err))
		return
	}
	for _, to := range peers {
		at, err := net.ResolveUDPAddr("udp", string(to))
		if err != nil {
			continue
		}
		// A datagram that can't be sent is handled like a lost one.
		_, _ = b.socket.WriteToUDP(raw, at)
	}
}
