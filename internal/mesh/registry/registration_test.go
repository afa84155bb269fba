package registry

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/keyedstub"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// good is a registration of vm2 as its daemon writes it.
func good() Registration {
	return Registration{Daemon: "vm2", Address: "10.0.0.2:70", Service: "quotes", Target: "i-2", Slots: 2, State: Ready, Incarnation: 1, Revision: 3}
}

// oddRecords returns records that no daemon writes, each under the key of vm2 or of the reader.
func oddRecords(t testing.TB) map[string]keyed.Record {
	t.Helper()
	all := map[string]keyed.Record{
		"nested":    {Key: "10.0.0.2:70", Value: bytes.Repeat([]byte{0x81}, 100_000)},
		"truncated": {Key: "10.0.0.2:70", Value: []byte{0xab, 0x01}},
		"largest":   {Key: "10.0.0.2:70", Value: bytes.Repeat([]byte{'x'}, 256<<10)},
		"huge text": {Key: "10.0.0.2:70", Value: []byte{0xa1, 0x01, 0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		"bignum":    {Key: "10.0.0.2:70", Value: append([]byte{0xa1, 0x06, 0xc2, 0x4c}, bytes.Repeat([]byte{0xff}, 12)...)},
		"text":      {Key: "10.0.0.2:70", Value: []byte(`{"address":"10.0.0.2:70"}`)},
		"no key":    {Key: "", Value: []byte{0xa0}},
	}
	for name, change := range map[string]func(*Registration){
		"another key":          func(r *Registration) { r.Address = "10.0.0.3:70" },
		"no daemon":            func(r *Registration) { r.Daemon = "" },
		"no port":              func(r *Registration) { r.Address = "10.0.0.2" },
		"port 0":               func(r *Registration) { r.Address = "10.0.0.2:0" },
		"port 65536":           func(r *Registration) { r.Address = "10.0.0.2:65536" },
		"port -1":              func(r *Registration) { r.Address = "10.0.0.2:-1" },
		"slots -1":             func(r *Registration) { r.Slots = -1 },
		"too many slots":       func(r *Registration) { r.Slots = math.MaxInt64 },
		"last incarnation":     func(r *Registration) { r.Incarnation = math.MaxUint64 },
		"last revision":        func(r *Registration) { r.Revision = math.MaxUint64 },
		"long service":         func(r *Registration) { r.Service = ids.Service(strings.Repeat("s", 300)) },
		"own last incarnation": func(r *Registration) { r.Address, r.Incarnation = "10.0.0.1:70", math.MaxUint64 },
	} {
		r := good()
		r.Incarnation = 2
		change(&r)
		raw, err := cbor.Marshal(r)
		must.NoError(t, err)
		key := string(r.Address)
		if name == "another key" {
			key = "10.0.0.2:70"
		}
		all[name] = keyed.Record{Key: key, Value: raw}
	}
	return all
}

// A record that no daemon writes is skipped. The daemon keeps all others, goes on reading and
// is still listed itself.
func TestOddRecords(t *testing.T) {
	for name, odd := range oddRecords(t) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := common.Discard()
				c.Mesh.Sockets.Peers, c.Mesh.Identity.Daemon = "10.0.0.1:70", "vm1"
				c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, time.Second
				store := &keyedstub.Stub{}
				r := &Registry{Common: c, Store: store}
				var k kernel.Kernel
				k.Add(c.Clock)
				k.Add(r)
				must.NoError(t, k.Start(t.Context()))
				defer func() { must.NoError(t, k.Stop(time.Second)) }()
				put := func(reg Registration) {
					record, err := encode(reg)
					must.NoError(t, err)
					must.NoError(t, store.Put(t.Context(), keyed.Fleet, record))
				}
				put(good())
				time.Sleep(3 * time.Second)
				must.NoError(t, store.Put(t.Context(), keyed.Fleet, odd))
				time.Sleep(3 * time.Second)
				must.Eq(t, []Registration{good()}, r.Serving("quotes"))
				newer := good()
				newer.State, newer.Revision = Leaving, 4
				put(newer)
				<-r.UpdateOwn(func(own *Registration) { own.Target, own.Service, own.State = "i-1", "quotes", Ready })
				time.Sleep(3 * time.Second)
				must.SliceLen(t, 1, r.Serving("quotes"))
				must.Less(t, maxOrder, uint64(r.Own().Incarnation))
				must.SliceLen(t, 2, r.All())
			})
		})
	}
}

// What decode accepts is a registration that every daemon can use.
func FuzzDecode(f *testing.F) {
	for _, odd := range oddRecords(f) {
		f.Add(odd.Key, odd.Value[:min(len(odd.Value), 1<<10)])
	}
	record, err := encode(good())
	must.NoError(f, err)
	f.Add(record.Key, record.Value)
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		r, err := decode(key, raw)
		if err != nil {
			return
		}
		must.True(t, validAddress(r.Address))
		must.Between(t, 0, r.Slots, units.Slots(maxSlots))
		again, err := encode(r)
		must.NoError(t, err)
		same, err := decode(string(r.Address), again.Value)
		must.NoError(t, err)
		must.Eq(t, r, same)
	})
}
