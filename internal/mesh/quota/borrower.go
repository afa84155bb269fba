package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// fallbackBurst is the time whose rate a fallback share may accumulate.
const fallbackBurst = time.Second

// borrowerState is what this daemon stores for an account that another daemon leads.
type borrowerState struct {
	// cached is the number of borrowed tokens, which may be consumed until expires.
	cached  int
	expires units.Instant
	// exhaustedUntil is set while the leader is known to have no tokens.
	exhaustedUntil units.Instant
	// fallbackUntil is set while the leader does not answer; the fallback bucket decides then.
	fallbackUntil units.Instant
	fallback      bucket.Bucket
	// fallbackUsed is when the fallback bucket decided last. It is paused from the next answer of
	// a leader on, with the balance of that time, since the leader lends the whole rate.
	fallbackUsed   units.Instant
	fallbackPaused bool
	pausedBalance  units.Tokens
	spent          spending
	// demand is the recent rate of requests per second.
	demand    float64
	countedAt units.Instant
}

// countRequest adds one request to the recent demand.
func (s *borrowerState) countRequest(now units.Instant) {
	const memory = time.Second
	passed := now.Sub(s.countedAt)
	s.countedAt = now
	s.demand = s.demand*math.Exp(-float64(passed)/float64(memory)) + 1
}

// pauseFallback keeps the fallback share from growing while a leader lends.
func (s *borrowerState) pauseFallback(now units.Instant) {
	if !s.fallbackPaused {
		s.fallbackPaused, s.pausedBalance = true, s.fallback.Balance(now)
	}
}

// admitFallback consumes a token of this daemon's equal share of the limit, if there is one.
// It is counted for the leader, which learns of it later.
func (s *borrowerState) admitFallback(a policy.Account, leader ids.Address, now units.Instant, daemons int) bool {
	n := max(daemons, 1)
	rate := units.Rate(float64(a.Rate) / float64(n))
	burst := max(rate.Over(fallbackBurst), units.Token)
	if s.fallback.Rate == 0 || now.Sub(s.fallbackUsed) > quotaWindow {
		s.fallbackPaused = false
		// The shares of all daemons together begin with a few grants, each with a random part of
		// them, which keeps them from all admitting a request at once.
		s.fallback = bucket.Bucket{Rate: rate, Burst: burst}
		s.fallback.SetBalance(now, units.Tokens(2*rand.Float64()*fallbackGrants*float64(startGrant(a))/float64(n)))
	}
	if s.fallbackPaused {
		s.fallbackPaused = false
		s.fallback.SetBalance(now, s.pausedBalance)
	}
	s.fallback.Resize(now, rate, burst)
	s.fallbackUsed = now
	if !s.fallback.Consume(now, units.Token) {
		return false
	}
	s.spent.add(leader)
	return true
}
