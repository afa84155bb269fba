package fleet_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/usage"
)

// BenchmarkRest shows the processor time that one of 24 daemons spends in a second
// without requests, with its QUIC connections.
func BenchmarkRest(b *testing.B) {
	const daemons, length = 24, 20 * time.Second
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"a", "b", "c"},
		Services: []fleet.Service{{ID: "andrade/payments", Targets: daemons, Slots: 4}},
	})
	must.NoError(b, err)
	defer f.Close()
	for range b.N {
		before := usage.Now()
		time.Sleep(length)
		spent := usage.Now().Since(before)
		b.ReportMetric(float64(spent.Microseconds())/daemons/length.Seconds(), "µs/s")
	}
}
