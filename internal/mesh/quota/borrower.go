package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// borrowerState is what this daemon knows of one account that another one holds.
type borrowerState struct {
	// cached requests may be admitted until expires.
	cached int
	expires  units.Instant
	// exhaustedUntil is set while the holder is known to have nothing.
	exhaustedUntil units.Instant
	// fallbackUntil is set while the holder does not answer; own applies then.
	fallbackUntil units.Instant
	fallback        bucket.Bucket
	// demand is the recent rate of requests.
	demand  float64
	countedAt units.Instant
}

// countRequest notes one request in the recent demand.
func (s *borrowerState) countRequest(now units.Instant) {
	const memory = time.Second
	passed := now.Sub(s.countedAt)
	s.countedAt = now
	s.demand = s.demand*math.Exp(-float64(passed)/float64(memory)) + 1
}

// admitFallback admits by this daemon's equal part of the limit.
func (s *borrowerState) admitFallback(a policy.Account, now units.Instant, daemons int) bool {
	n := max(daemons, 1)
	rate := units.Rate(float64(a.Rate) / float64(n))
	burst := max(a.Burst/units.Tokens(n), units.Token)
	if s.fallback.Rate == 0 {
		// A random start keeps the daemons that are alone from admitting one each at once.
		s.fallback = bucket.Bucket{Rate: rate, Burst: burst}
		s.fallback.SetBalance(now, units.Tokens(rand.Float64()*float64(burst)))
	}
	s.fallback.Resize(now, rate, burst)
	return s.fallback.Consume(now, units.Token)
}
