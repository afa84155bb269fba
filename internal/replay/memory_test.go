package replay_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
)

// targetRoutes, targetAccounts and targetKeys are the size of the settings that the
// users require.
const (
	targetRoutes   = 35_000
	targetAccounts = 55_000
	targetKeys     = 60_000
	sections       = targetRoutes + targetAccounts + targetKeys
)

// large returns the edits that create settings of that size.
func large() []record.Record {
	recs := start()
	add := func(kind string, i int, v values) {
		path := ids.Path(fmt.Sprintf("teams/andrade/%s/%s%06d", kind, kind, i))
		recs = append(recs, edit(ids.Edit(fmt.Sprintf("%s-%d", kind, i)), path, 0, v))
	}
	for i := range targetRoutes {
		add("routes", i, values{"host": fmt.Sprintf("host%06d.example", i), "prefix": "/v1", "service": "quotes"})
	}
	for i := range targetAccounts {
		add("accounts", i, values{"rate": "25", "burst": "50"})
	}
	for i := range targetKeys {
		add("keys", i, values{"hash": fmt.Sprintf("%064x", i), "account": fmt.Sprintf("accounts%06d", i%targetAccounts)})
	}
	return recs
}

// BenchmarkStateMemory reports the heap that settings of the required size take.
// Records are decoded from their encoding first, as in a daemon.
func BenchmarkStateMemory(b *testing.B) {
	var encoded [][]byte
	for _, r := range large() {
		data, err := record.Encode(r)
		must.NoError(b, err)
		encoded = append(encoded, data)
	}
	for b.Loop() {
		before := heap()
		s := &replay.State{}
		for _, data := range encoded {
			rec, err := record.Decode(data)
			must.NoError(b, err)
			s.Apply(s.Offset()+1, rec)
		}
		held := float64(heap() - before)
		b.ReportMetric(held/float64(sections), "bytes/section")
		b.ReportMetric(held/(1<<20), "MB")
		runtime.KeepAlive(s)
	}
	runtime.KeepAlive(encoded)
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLoad reports the cost of rendering and loading a snapshot of the whole
// state.
func BenchmarkLoad(b *testing.B) {
	var s replay.State
	apply(&s, large()...)
	f := s.Freeze()
	for b.Loop() {
		load(b, f)
	}
}
