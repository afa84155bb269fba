package reachable_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/keyedstub"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/reachable"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// lost is the address of a daemon at which nothing listens.
const lost = ids.Address("127.0.0.1:1")

// A daemon that can't be reached is suspected, and removed from the registry after hours.
func TestLostForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Mesh.Sockets.Peers, c.Mesh.Identity.Daemon = "vm1:1", "vm1"
		c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, time.Second
		store := &keyedstub.Stub{}
		raw, err := cbor.Marshal(registry.Registration{Daemon: "vm2", Address: lost, Incarnation: 1})
		must.NoError(t, err)
		must.NoError(t, store.Put(t.Context(), keyed.Fleet, keyed.Record{Key: string(lost), Value: raw}))
		list, r := &registry.Registry{Common: c, Store: store}, &reachable.Tracker{Common: c}
		var k kernel.Kernel
		for _, s := range []service.Service{c.Clock, list, &link.Link{}, r} {
			k.Add(s)
		}
		must.NoError(t, k.Start(t.Context()))
		defer func() { must.NoError(t, k.Stop(time.Second)) }()
		time.Sleep(time.Second)
		r.RecordFailure(lost, errors.New("refused"))
		time.Sleep(time.Hour)
		must.True(t, r.Suspected(lost))
		must.SliceLen(t, 2, list.All())
		time.Sleep(2 * time.Hour)
		must.False(t, r.Suspected(lost))
		must.SliceLen(t, 1, list.All())
		all := store.Records()
		must.Eq(t, keyed.Record{Key: string(lost)}, all[len(all)-1])
	})
}
