package lender_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// fixed is a stand-in for a service, with fixed settings and a given roster.
type fixed struct {
	name   service.Name
	state  *replay.State
	roster *atomic.Pointer[roster.Roster]
}

func (f fixed) Name() service.Name                          { return f.name }
func (f fixed) Needs() []service.Name                       { return nil }
func (f fixed) Start(context.Context, service.Finder) error { return nil }
func (f fixed) Stop(context.Context) error                  { return nil }
func (f fixed) View(read func(*replay.State))               { read(f.state) }
func (f fixed) Newest() ids.Offset                          { return f.state.Offset() }
func (f fixed) Confirmed() bool                             { return true }
func (f fixed) Roster() roster.Roster                       { return *f.roster.Load() }
func (f fixed) Self() (ids.Daemon, ids.Incarnation)         { return "vm00000", 1 }

// Call and Send behave like a network that loses everything.
func (f fixed) Call(context.Context, ids.Daemon, message.Message) (message.Message, error) {
	return nil, errLost
}

func (f fixed) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errLost
}

var errLost = errors.New("lost")

// next returns the roster with another incarnation of one daemon.
func next(r roster.Roster, i int) roster.Roster {
	n := roster.Roster{Version: r.Version + 1, Entries: append([]roster.Entry(nil), r.Entries...)}
	n.Entries[i].Incarnation++
	return n
}

func rosterOf(daemons int) roster.Roster {
	r := roster.Roster{Version: 1}
	for i := range daemons {
		r.Entries = append(r.Entries, roster.Entry{
			Daemon: ids.Daemon(fmt.Sprintf("vm%05d", i)), Incarnation: 1, Centre: ids.Centre(fmt.Sprintf("c%d", i%13)),
		})
	}
	return r
}

func accounts(n int) *replay.State {
	state := &replay.State{}
	apply := func(path ids.Path, credential string, values map[string]string) {
		at := state.Offset() + 1
		state.Apply(at, record.Edit{ID: ids.Edit(fmt.Sprint(at)), Path: path, Credential: bearer.HashOf(credential), Values: values})
	}
	apply("teams/root", "root", map[string]string{"credential": string(bearer.HashOf("root"))})
	apply("teams/school", "root", map[string]string{"credential": string(bearer.HashOf("team"))})
	for i := range n {
		apply(settings.PathOf("school", settings.KindAccount, fmt.Sprint("a", i)), "team", map[string]string{"rate": "10", "burst": "20"})
	}
	return state
}

// fixture is a lender with stand-ins for the other services.
type fixture struct {
	lender *lender.Lender
	roster *atomic.Pointer[roster.Roster]
}

// replace brings a roster with another incarnation of one daemon into force.
func (f fixture) replace(i int) {
	r := next(*f.roster.Load(), i)
	f.roster.Store(&r)
}

func start(tb testing.TB, daemons, count int) fixture {
	tb.Helper()
	r := rosterOf(daemons)
	f := fixture{roster: &atomic.Pointer[roster.Roster]{}}
	f.roster.Store(&r)
	c := common.Discard()
	f.lender = &lender.Lender{Common: c}
	stub := fixed{state: accounts(count), roster: f.roster}
	k := &kernel.Kernel{}
	tailed, confirmed, forced, dialled := stub, stub, stub, stub
	tailed.name, confirmed.name, forced.name, dialled.name = "tail", "confirm", "force", "dial"
	for _, s := range []service.Service{c.Clock, tailed, confirmed, forced, dialled, f.lender} {
		k.Add(s)
	}
	must.NoError(tb, k.Start(tb.Context()))
	tb.Cleanup(func() { _ = k.Stop(time.Second) })
	return f
}

// held sends a request for each account and returns those of which this daemon has a
// share.
func (f fixture) held(numbers []int) []int {
	var held []int
	for _, i := range numbers {
		m := message.Borrow{Account: ids.AccountOf("school", fmt.Sprint("a", i))}
		m.Request.Borrower.Daemon = "vm00001"
		if f.lender.Lend("vm00001", m).IsLeader {
			held = append(held, i)
		}
	}
	return held
}

// numbers counts from 0.
func numbers(n int) []int {
	var list []int
	for i := range n {
		list = append(list, i)
	}
	return list
}

// When other daemons restart, the shares stay where they are.
func TestSharesStayThroughRosters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 200
		f := start(t, 13, count)
		held := f.held(numbers(count))
		must.SliceNotEmpty(t, held)
		for i := range 12 {
			f.replace(1 + i)
			time.Sleep(200 * time.Millisecond)
			must.Eq(t, held, f.held(numbers(count)))
		}
	})
}

// BenchmarkRoster measures one change of a roster of 2,000 daemons, followed by a request
// for each account of which this daemon has a share.
func BenchmarkRoster(b *testing.B) {
	const count = 10000
	f := start(b, 2000, count)
	held := f.held(numbers(count))
	for i := range 10 {
		f.replace(1 + i)
		f.held(held)
	}
	b.ResetTimer()
	for i := range b.N {
		f.replace(20 + i%1000)
		f.held(held)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*max(1, len(held))), "µs/held")
}
