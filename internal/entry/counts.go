package entry

import (
	"github.com/rcrowley/go-metrics"

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
		ran:     metrics.GetOrRegisterCounter("requests.ran", r),
		maybe:   metrics.GetOrRegisterCounter("requests.maybe", r),
		unrun:   metrics.GetOrRegisterCounter("requests.unrun", r),
		retries: metrics.GetOrRegisterCounter("requests.retries", r),
		hedges:  metrics.GetOrRegisterCounter("requests.hedges", r),
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
