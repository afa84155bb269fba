package entry

import (
	"github.com/rcrowley/go-metrics"

	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// counters are the metrics of an Entry.
type counters struct {
	ran     metrics.Counter
	maybe   metrics.Counter
	unrun   metrics.Counter
	retries metrics.Counter
	hedges  metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		ran:     metric.RequestsRan.Counter(r),
		maybe:   metric.RequestsUncertain.Counter(r),
		unrun:   metric.RequestsUnrun.Counter(r),
		retries: metric.Retries.Counter(r),
		hedges:  metric.Hedges.Counter(r),
	}
}

// record counts one finished request by its verdict.
func (c counters) record(err error) {
	if err == nil {
		c.ran.Inc(1)
		return
	}
	if verdict.Of(err) == verdict.Unrun {
		c.unrun.Inc(1)
		return
	}
	c.maybe.Inc(1)
}
