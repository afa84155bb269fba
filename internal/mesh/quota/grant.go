package quota

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// A daemon that becomes the quota leader of an account does not know what the last one lent, and
// neither do the daemons that use their fallback shares. What they hand out at first, beside the
// rate, comes out of what the platform's rules tolerate beyond the limit in any window:
// (rate x window + burst) x overrun + slack. Half of the part that comes from the rate is left to
// the time in which both sides of a cut lend, until they have noticed it.
const (
	quotaWindow  = 5 * time.Second
	quotaOverrun = 0.1
	quotaSlack   = 20 * units.Token
	// leadersPerWindow is how many times a new leader may begin in one window, after five kills
	// 1.5 s apart. The fallback shares begin once in a window, with fallbackGrants for all of them.
	leadersPerWindow = 5
	fallbackGrants   = 4
	// startShare is the largest share of the burst with which a leader begins when nobody else can
	// have lent.
	startShare = 0.5
	// newsTime is by when all daemons know of a change of the fleet, and borrow from the new leader.
	newsTime = 3 * time.Second
)

// startGrant returns the balance with which a daemon begins to lend when others may have lent
// before.
func startGrant(a policy.Account) units.Tokens {
	tolerated := units.Tokens(quotaOverrun*float64(a.Rate.Over(quotaWindow)/2+a.Burst)) + quotaSlack
	return min(tolerated/(leadersPerWindow+fallbackGrants), a.Burst/4)
}

// startBalance returns the balance with which the leader of an account begins to lend. Once all
// daemons know that this one has started, and that the daemons of higher rank have left, they would
// have borrowed from this one, so the rate of that time was not lent.
func (q *Quota) startBalance(a policy.Account, now units.Instant) units.Tokens {
	grant := startGrant(a)
	unlent := now.Sub(q.registry.LastDeparture()) - newsTime
	if unlent <= 0 {
		return grant
	}
	return max(grant, min(grant+a.Rate.Over(unlent), units.Tokens(startShare*float64(a.Burst))))
}
