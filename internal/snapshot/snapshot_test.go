package snapshot_test

import (
	"context"
	"fmt"
	"io"
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
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/snapshot"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	hash      ids.Hash = "00000000000000000000000000000000000000000000000000000000000000aa"
	retention          = 2 * time.Hour
	daemons            = 12
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

// inForce stands in for the service that tracks which records are in force.
type inForce struct{ noPeers }

func (inForce) Name() service.Name { return "force" }
func (inForce) Newest() ids.Offset { return 0 }

// start starts one daemon of a fleet, each in a data centre of its own.
func start(t *testing.T, log platformlog.Log, i int) *tail.Tail {
	t.Helper()
	c := common.Discard()
	c.Settings.Identity.Daemon = ids.Daemon(fmt.Sprint("vm", i))
	c.Settings.Identity.Centre = ids.Centre(fmt.Sprint("centre", i))
	c.Settings.Platform.Retention = retention
	members := &directory.Directory{}
	for j := range daemons {
		members.Put(member.Member{Daemon: ids.Daemon(fmt.Sprint("vm", j)), Incarnation: 1, Centre: ids.Centre(fmt.Sprint("centre", j))})
	}
	follower := &tail.Tail{Common: c, Log: log}
	var k kernel.Kernel
	for _, s := range []service.Service{c.Clock, members, noPeers{}, inForce{}, follower, &snapshot.Writer{Common: c, Log: log}} {
		k.Add(s)
	}
	must.NoError(t, k.Start(t.Context()))
	t.Cleanup(func() { must.NoError(t, k.Stop(time.Second)) })
	return follower
}

func fill(t *testing.T, log platformlog.Log, accounts int) {
	t.Helper()
	put := func(path ids.Path, values map[string]string) {
		data, err := record.Encode(record.Edit{ID: ids.Edit(path), Path: path, Credential: hash, Values: values})
		must.NoError(t, err)
		_, err = log.Append(t.Context(), platformlog.Settings, data)
		must.NoError(t, err)
	}
	put("teams/root", map[string]string{"credential": string(hash)})
	for i := range accounts {
		put(ids.Path(fmt.Sprint("teams/root/accounts/a", i)), nil)
	}
}

// A fleet writes the state about once in a quarter of the retention, so that a
// daemon that starts after the first records have expired still gets all settings.
func TestFleetWritesBeforeExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logstub.Stub{}
		fill(t, log, 2*record.PartSections)
		before := log.Appends()
		var first *tail.Tail
		for i := range daemons {
			first = start(t, log, i)
		}
		time.Sleep(retention / 2)
		parts := log.Appends() - before
		t.Logf("%d daemons, %d sections: %d appends in %s", daemons, 2*record.PartSections+1, parts, retention/2)
		must.Between(t, 2*3, parts, 3*3)
		log.Expire(platformlog.Settings, 3)
		late := start(t, log, 0)
		time.Sleep(4 * time.Second)
		must.EqOp(t, first.Offset(), late.Offset())
		must.EqOp(t, first.Freeze().Offset(), late.Freeze().Offset())
		late.View(func(s *replay.State) { must.EqOp(t, 2*record.PartSections+1, len(s.Paths())) })
	})
}

// limitedLog is a log to which one daemon can append only a few records.
type limitedLog struct {
	*logstub.Stub
	appendsLeft int
}

func (l *limitedLog) Append(ctx context.Context, s platformlog.Stream, data []byte) (ids.Offset, error) {
	if l.appendsLeft == 0 {
		return 0, logstub.ErrAway
	}
	l.appendsLeft--
	return l.Stub.Append(ctx, s, data)
}

// When daemons stop while they write a snapshot, another one writes it; the
// incomplete ones are never loaded.
func TestAnotherMakerTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logstub.Stub{}
		fill(t, log, 2*record.PartSections)
		for i := range daemons - 1 {
			start(t, &limitedLog{Stub: log, appendsLeft: 1}, i)
		}
		time.Sleep(time.Hour)
		follower := start(t, log, daemons-1)
		follower.View(func(s *replay.State) { must.Zero(t, s.LatestSnapshot().Offset) })
		time.Sleep(time.Hour)
		follower.View(func(s *replay.State) { must.Positive(t, s.LatestSnapshot().Offset) })
	})
}

// Nothing is appended while the log is unavailable, and no burst of snapshots
// follows.
func TestNoBurstAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &logstub.Stub{}
		fill(t, log, 10)
		for i := range daemons {
			start(t, log, i)
		}
		time.Sleep(time.Minute)
		before := log.Appends()
		log.SetAway(true)
		time.Sleep(retention)
		log.SetAway(false)
		time.Sleep(20 * time.Minute)
		made := log.Appends() - before
		t.Logf("%d daemons: %d snapshots in the 20 minutes after an outage", daemons, made)
		must.EqOp(t, 1, made)
	})
}
