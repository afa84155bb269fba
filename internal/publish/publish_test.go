package publish_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	hash   ids.Hash = "00000000000000000000000000000000000000000000000000000000000000aa"
	school ids.Path = "teams/root/accounts/school"
)

// noPeers is a peer.Caller without peers.
type noPeers struct{}

func (noPeers) Name() service.Name                          { return "dial" }
func (noPeers) Needs() []service.Name                       { return nil }
func (noPeers) Start(context.Context, service.Finder) error { return nil }
func (noPeers) Stop(context.Context) error                  { return nil }
func (noPeers) Call(context.Context, ids.Daemon, message.Message) (message.Message, error) {
	return nil, errorx.TimeoutElapsed.New("no peers")
}

func (noPeers) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errorx.TimeoutElapsed.New("no peers")
}

// start starts a daemon with the publish service on the log.
func start(t *testing.T, log platformlog.Log) *publish.Publisher {
	t.Helper()
	c := common.Discard()
	p := &publish.Publisher{Common: c, Log: log}
	var k kernel.Kernel
	for _, s := range []service.Service{c.Clock, &directory.Directory{}, noPeers{}, &tail.Tail{Common: c, Log: log}, p} {
		k.Add(s)
	}
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(time.Second)) })
	return p
}

func rate(id ids.Edit, base ids.Offset, value string) record.Edit {
	return record.Edit{ID: id, Path: school, Base: base, Credential: hash, Values: map[string]string{"rate": value}}
}

func submit(t *testing.T, p *publish.Publisher, e record.Edit) publish.Receipt {
	t.Helper()
	r, err := p.Submit(t.Context(), e)
	must.NoError(t, err)
	return r
}

// scenario runs steps on a daemon whose settings hold the root team at offset 1.
func scenario(t *testing.T, steps func(t *testing.T, log *logstub.Stub, p *publish.Publisher)) {
	synctest.Test(t, func(t *testing.T) {
		log := &logstub.Stub{}
		p := start(t, log)
		r := submit(t, p, record.Edit{Path: "teams/root", Values: map[string]string{"credential": string(hash)}})
		must.Eq(t, publish.Result(publish.Accepted{Version: 1}), r.Result)
		steps(t, log, p)
	})
}

func TestSubmit(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(log *logstub.Stub)
		edit    record.Edit
		want    publish.Result
		appends int
	}{
		{name: "accepted", edit: rate("a", 0, "5"), want: publish.Accepted{Version: 2}, appends: 2},
		{
			name: "reply lost", prepare: func(l *logstub.Stub) { l.LoseReplies(1) },
			edit: rate("a", 0, "5"), want: publish.Accepted{Version: 2}, appends: 2,
		},
		{
			name: "append dropped", prepare: func(l *logstub.Stub) { l.DropAppends(2) },
			edit: rate("a", 0, "5"), want: publish.Accepted{Version: 2}, appends: 2,
		},
		{
			name: "log away", prepare: func(l *logstub.Stub) { l.SetAway(true) }, edit: rate("a", 0, "5"),
			want: publish.NotAppended{Reason: "the log service did not take the edit: platformlog.not_appended: log service is away"}, appends: 1,
		},
		{
			name: "log away and a stale base", prepare: func(l *logstub.Stub) { l.SetAway(true) }, edit: rate("a", 7, "5"),
			want: publish.NotAppended{Reason: "the newest settings can't be read; nothing was appended"}, appends: 1,
		},
		{name: "conflict", edit: rate("a", 7, "5"), want: publish.Conflict{Removed: true}, appends: 1},
		{
			name: "denied", edit: record.Edit{ID: "a", Path: school},
			want: publish.Denied{Reason: "the credential is not the team's"}, appends: 1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			scenario(t, func(t *testing.T, log *logstub.Stub, p *publish.Publisher) {
				if c.prepare != nil {
					c.prepare(log)
				}
				must.Eq(t, c.want, submit(t, p, c.edit).Result)
				must.EqOp(t, c.appends, log.Appends())
			})
		})
	}
}

// An invalid value is refused before the append, and the error names section and
// name.
func TestInvalid(t *testing.T) {
	scenario(t, func(t *testing.T, log *logstub.Stub, p *publish.Publisher) {
		r := submit(t, p, rate("a", 0, "many"))
		invalid, ok := r.Result.(publish.Invalid)
		must.True(t, ok)
		var e *settings.Error
		must.True(t, errors.As(invalid.Cause, &e))
		must.EqOp(t, string(school), e.Section)
		must.EqOp(t, "rate", e.Name)
		must.EqOp(t, 1, log.Appends())
	})
}

// A conflict holds the version and the values of the current section.
func TestConflictTellsWhatChanged(t *testing.T) {
	scenario(t, func(t *testing.T, _ *logstub.Stub, p *publish.Publisher) {
		submit(t, p, rate("a", 0, "5"))
		want := publish.Conflict{Current: 2, Values: map[string]string{"rate": "5"}}
		must.Eq(t, publish.Result(want), submit(t, p, rate("b", 0, "6")).Result)
	})
}

// A second edit with the same id returns the result of the first one.
func TestSameID(t *testing.T) {
	scenario(t, func(t *testing.T, log *logstub.Stub, p *publish.Publisher) {
		first := submit(t, p, rate("a", 0, "5"))
		must.Eq(t, first, submit(t, p, rate("a", 2, "6")))
		must.EqOp(t, 2, log.Appends())
	})
}

// readOutageLog is a log whose reads fail from the first append on, and that loses
// the reply of every append.
type readOutageLog struct {
	logstub.Stub
	away atomic.Bool
}

func (o *readOutageLog) Append(ctx context.Context, s platformlog.Stream, data []byte) (ids.Offset, error) {
	o.away.Store(true)
	o.LoseReplies(1)
	return o.Stub.Append(ctx, s, data)
}

func (o *readOutageLog) Read(ctx context.Context, s platformlog.Stream, from ids.Offset, limit int, wait time.Duration) (platformlog.Page, error) {
	page, err := o.Stub.Read(ctx, s, from, limit, wait)
	if o.away.Load() {
		return platformlog.Page{}, logstub.ErrAway
	}
	return page, err
}

// When the log becomes unavailable and the reply is lost, the result is unknown,
// nothing is appended twice, and a later lookup finds the edit.
func TestUnknownThenLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &readOutageLog{}
		p := start(t, log)
		r := submit(t, p, record.Edit{ID: "a", Path: "teams/root", Values: map[string]string{"credential": string(hash)}})
		_, unknown := r.Result.(publish.Unknown)
		must.True(t, unknown, must.Sprintf("%#v", r.Result))
		must.EqOp(t, 1, log.Appends())
		_, ok := p.Lookup("a")
		must.False(t, ok)
		log.away.Store(false)
		time.Sleep(4 * time.Second)
		found, ok := p.Lookup("a")
		must.True(t, ok)
		must.Eq(t, publish.Result(publish.Accepted{Version: 1}), found.Result)
	})
}

// Of several operators who edit one section at once, exactly one is accepted for
// each version, whichever daemons they use and whichever replies are lost.
func TestRacingOperators(t *testing.T) {
	scenario(t, func(t *testing.T, log *logstub.Stub, _ *publish.Publisher) {
		const operators = 8
		log.SetSlow(20 * time.Millisecond)
		log.LoseReplies(3)
		receipts := make([]publish.Receipt, operators)
		var wg sync.WaitGroup
		for i := range operators {
			other := start(t, log)
			wg.Go(func() {
				receipts[i], _ = other.Submit(t.Context(), rate(ids.Edit(fmt.Sprint(i)), 0, fmt.Sprint(i+1)))
			})
		}
		wg.Wait()
		accepted := 0
		for _, r := range receipts {
			switch result := r.Result.(type) {
			case publish.Accepted:
				accepted++
			case publish.Conflict:
				must.Greater(t, 1, result.Current)
			default:
				must.Unreachable(t, must.Sprintf("%#v", r.Result))
			}
		}
		must.EqOp(t, 1, accepted)
	})
}
