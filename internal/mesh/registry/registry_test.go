package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/keyedstub"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// newest returns the registration that a daemon reads which starts now.
func newest(t *testing.T, m *keyedstub.Stub) registry.Registration {
	t.Helper()
	var rec registry.Registration
	must.NoError(t, cbor.Unmarshal(last(m).Value, &rec))
	return rec
}

// last returns the record that was written last.
func last(m *keyedstub.Stub) keyed.Record {
	all := m.Records()
	return all[len(all)-1]
}

// run starts a registry on a store that works.
func run(t *testing.T, test func(t *testing.T, r *registry.Registry, m *keyedstub.Stub)) {
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Mesh.Sockets.Peers, c.Mesh.Identity.Daemon = "vm1:1", "vm1"
		c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, time.Second
		m := &keyedstub.Stub{}
		r := &registry.Registry{Common: c, Store: m}
		var k kernel.Kernel
		k.Add(c.Clock)
		k.Add(r)
		must.NoError(t, k.Start(t.Context()))
		defer func() { must.NoError(t, k.Stop(time.Second)) }()
		test(t, r, m)
	})
}

func set(s registry.State) func(*registry.Registration) {
	return func(own *registry.Registration) { own.Target, own.Service, own.State = "i-1", "quotes", s }
}

// A write may take effect in the store after a newer one. It must be overwritten, or a daemon
// that starts then would regard the older state as the newest.
func TestLateWrite(t *testing.T) {
	run(t, func(t *testing.T, r *registry.Registry, m *keyedstub.Stub) {
		<-r.UpdateOwn(set(registry.Ready))
		late := last(m)
		<-r.UpdateOwn(set(registry.Leaving))
		time.Sleep(5 * time.Second)
		must.EqOp(t, registry.Leaving, newest(t, m).State)
		must.NoError(t, m.Put(t.Context(), keyed.Fleet, late))
		time.Sleep(5 * time.Second)
		must.EqOp(t, registry.Leaving, newest(t, m).State)
		must.SliceLen(t, 4, m.Records())
	})
}

// A process reads what an earlier process of the same daemon wrote, and its own registrations
// count as newer.
func TestEarlierProcess(t *testing.T) {
	run(t, func(t *testing.T, r *registry.Registry, m *keyedstub.Stub) {
		<-r.UpdateOwn(set(registry.Leaving))
		before := newest(t, m)
		c := common.Discard()
		c.Mesh.Sockets.Peers, c.Mesh.Identity.Daemon = "vm1:1", "vm1"
		c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, time.Second
		next := &registry.Registry{Common: c, Store: m}
		var k kernel.Kernel
		k.Add(c.Clock)
		k.Add(next)
		must.NoError(t, k.Start(t.Context()))
		defer func() { must.NoError(t, k.Stop(time.Second)) }()
		must.NoError(t, next.AwaitLoaded(t.Context()))
		got, ok := next.Previous()
		must.True(t, ok)
		must.Eq(t, before, got)
		must.True(t, next.Own().Newer(before))
	})
}

// A lost daemon is removed from the list of all daemons; one that still runs registers again.
func TestForget(t *testing.T) {
	run(t, func(t *testing.T, r *registry.Registry, m *keyedstub.Stub) {
		raw, err := cbor.Marshal(registry.Registration{Daemon: "vm2", Address: "vm2:1", Incarnation: 1})
		must.NoError(t, err)
		must.NoError(t, m.Put(t.Context(), keyed.Fleet, keyed.Record{Key: "vm2:1", Value: raw}))
		time.Sleep(5 * time.Second)
		must.SliceLen(t, 2, r.All())
		must.NoError(t, r.Remove(t.Context(), "vm2:1"))
		must.SliceLen(t, 1, r.All())
		must.Eq(t, keyed.Record{Key: "vm2:1"}, last(m))
		must.NoError(t, m.Put(t.Context(), keyed.Fleet, keyed.Record{Key: "vm1:1"}))
		time.Sleep(5 * time.Second)
		must.EqOp(t, ids.Daemon("vm1"), newest(t, m).Daemon)
	})
}
