package crowd_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/crowd"
)

// A daemon among stand-ins exchanges a bounded number of messages and breaks no
// invariant.
func TestRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cost, err := crowd.Run(t.Context(), crowd.Plan{Members: 64, Targets: 2, Centres: 3, Services: 5, For: 20 * time.Second})
		must.NoError(t, err)
		must.Greater(t, 5, cost.Messages)
		must.Less(t, 40, cost.Messages)
	})
}

// BenchmarkRest shows the processor time of one daemon in a second.
func BenchmarkRest(b *testing.B) {
	for range b.N {
		cost, err := crowd.Run(b.Context(), crowd.Plan{Members: 2000, Targets: 13, Centres: 13, Services: 690, For: 10 * time.Second})
		must.NoError(b, err)
		b.ReportMetric(float64(cost.Processor.Microseconds()), "µs/s")
		b.ReportMetric(cost.Bytes, "B/s")
		b.ReportMetric(cost.Messages, "messages/s")
	}
}
