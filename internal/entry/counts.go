package entry

import (
	"github.com/rcrowley/go-metrics"

	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// counts are the entry's metrics.
type counts struct {
	ran     metrics.Counter
	maybe   metrics.Counter
	unrun   metrics.Counter
	retries metrics.Counter
	hedges  metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	return counts{
		ran:     metric.RequestsRan.Counter(r),
		maybe:   metric.RequestsMaybe.Counter(r),
		unrun:   metric.RequestsUnrun.Counter(r),
		retries: metric.Retries.Counter(r),
		hedges:  metric.Hedges.Counter(r),
	}
}

// ended counts one request by its verdict.
func (c counts) ended(err error) {
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
