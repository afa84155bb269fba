package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// state is a stand-in for the services that show the settings.
type state struct{ *replay.State }

// View implements lender.Viewer.
func (s state) View(read func(*replay.State)) { read(s.State) }

// sole is a stand-in for the standing of a confirmed daemon that is alone.
type sole struct{ roster roster.Roster }

// Confirmed implements leasecheck.Checker.
func (sole) Confirmed() bool { return true }

// Roster implements leasecheck.Checker.
func (s sole) Roster() roster.Roster { return s.roster }

// Self implements leasecheck.Checker.
func (s sole) Self() (ids.Daemon, ids.Incarnation) {
	return s.roster.Entries[0].Daemon, s.roster.Entries[0].Incarnation
}

// Newest implements lender.ForceTracker: the roster is in force.
func (s sole) Newest() ids.Offset { return s.roster.Version }

// mute is a stand-in for connections to other daemons, of which there are none.
type mute struct{}

// Call implements peer.Caller.
func (mute) Call(context.Context, ids.Daemon, message.Message) (message.Message, error) {
	return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "there is no other daemon")
}

// Send implements peer.Caller.
func (mute) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "there is no other daemon")
}

// stub gives a stand-in a name in the kernel.
type stub struct{ name service.Name }

// Name implements service.Service.
func (s stub) Name() service.Name { return s.name }

// Needs implements service.Service.
func (stub) Needs() []service.Name { return nil }

// Start implements service.Service.
func (stub) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (stub) Stop(context.Context) error { return nil }

// heldSize is the memory of one account's share at its holder.
func heldSize() (float64, error) {
	viewer := struct {
		stub
		state
	}{stub{"tail"}, state{stateOf(sections, settings.KindAccount, func(int) map[string]string {
		return map[string]string{"rate": "10", "burst": "20"}
	})}}
	stands := struct {
		stub
		sole
	}{stub{"confirm"}, sole{roster.Roster{Version: 1, Entries: []roster.Entry{{Daemon: "vm1", Incarnation: 1, Centre: "one"}}}}}
	forces := struct {
		stub
		sole
	}{stub{"force"}, stands.sole}
	dials := struct {
		stub
		mute
	}{stub: stub{"dial"}}
	c := common.Discard()
	l := &lender.Lender{Common: c}
	var k kernel.Kernel
	for _, s := range []service.Service{c.Clock, viewer, stands, forces, dials, l} {
		k.Add(s)
	}
	if err := k.Start(context.Background()); err != nil {
		return 0, err
	}
	defer func() { _ = k.Stop(time.Second) }()
	const accounts = 4000
	size := grown(func() any {
		for i := range accounts {
			ask(l, i)
		}
		return l
	})
	return size / float64(max(1, l.ShareCount())), nil
}

// ask borrows tokens of an account, as an entry daemon does.
func ask(l *lender.Lender, i int) {
	m := message.Borrow{Account: ids.AccountOf(team, fmt.Sprintf("section-%05d", i))}
	m.Request.Borrower.Daemon = "vm2"
	l.Lend("vm2", m)
}
