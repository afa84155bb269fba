package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// share is what this daemon knows of one account that another one holds.
type share struct {
	// borrowed requests may be admitted until expires.
	borrowed int
	expires  units.Instant
	// emptyUntil is set while the holder is known to have nothing.
	emptyUntil units.Instant
	// aloneUntil is set while the holder does not answer; own applies then.
	aloneUntil units.Instant
	own        bucket.Bucket
	// demand is the recent rate of requests.
	demand  float64
	counted units.Instant
}

// count notes one request in the recent demand.
func (s *share) count(now units.Instant) {
	const memory = time.Second
	passed := now.Sub(s.counted)
	s.counted = now
	s.demand = s.demand*math.Exp(-float64(passed)/float64(memory)) + 1
}

// alone admits by this daemon's equal part of the limit.
func (s *share) alone(a policy.Account, now units.Instant, daemons int) bool {
	n := max(daemons, 1)
	rate := units.Rate(float64(a.Rate) / float64(n))
	burst := max(a.Burst/units.Tokens(n), units.Token)
	if s.own.Rate == 0 {
		// A random start keeps the daemons that are alone from admitting one each at once.
		s.own = bucket.Bucket{Rate: rate, Burst: burst}
		s.own.SetBalance(now, units.Tokens(rand.Float64()*float64(burst)))
	}
	s.own.Resize(now, rate, burst)
	return s.own.Consume(now, units.Token)
}
