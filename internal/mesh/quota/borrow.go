package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// decideLocally decides with what this daemon knows and has borrowed, if that is sufficient.
func (q *Quota) decideLocally(a policy.Account, leader ids.Address, now units.Instant) (Basis, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.borrowerOf(a.ID)
	s.countRequest(now)
	switch {
	case now.Before(s.fallbackUntil):
		return BasisFallback, s.admitFallback(a, leader, now, len(q.registry.All()))
	case s.cached > 0 && now.Before(s.expires):
		s.cached--
		return BasisCached, true
	case now.Before(s.exhaustedUntil):
		return BasisExhausted, false
	}
	return "", false
}

func (q *Quota) borrowerOf(id ids.Account) *borrowerState {
	s, ok := q.borrowers[id]
	if !ok {
		s = &borrowerState{}
		q.borrowers[id] = s
	}
	return s
}

// borrow requests tokens from the quota leader, through a neighbour if the leader does not
// answer. It blocks until one of them answers or the timeouts pass.
func (q *Quota) borrow(ctx context.Context, a policy.Account, leader ids.Address) (Basis, bool) {
	b := q.report(q.newBorrow(a.ID, q.batchSize(a.ID), ""), leader)
	if !q.reachable.Suspected(leader) {
		lent, err := q.sendBorrow(ctx, leader, b, borrowTimeout)
		if err == nil {
			q.reported(b)
			q.reachable.RecordAnswer(leader)
			return BasisBorrowed, q.cacheTokens(a, lent)
		}
		if ctx.Err() != nil {
			return BasisCanceled, false
		}
		q.recordFailure(leader, err)
		q.Common.Info(event.LeaderUnreachable, zap.String("account", string(a.ID)), zap.String("holder", string(leader)), common.Cause(err))
	}
	b.Leader, b.StandbyHops = leader, 0
	if at, ok := q.pickNeighbour(leader); ok {
		if lent, err := q.sendBorrow(ctx, at, b, borrowTimeout); err == nil {
			q.reported(b)
			q.clearUnresponsive(leader)
			return BasisBorrowed, q.cacheTokens(a, lent)
		}
	}
	return BasisFallback, q.admitFallback(a, leader)
}

// sendBorrow sends one Borrow and blocks until the answer has arrived. If the receiver does not
// know the account, that is an error.
func (q *Quota) sendBorrow(ctx context.Context, to ids.Address, b link.Borrow, timeout time.Duration) (link.Lent, error) {
	ctx, cancel := q.Common.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := q.Link.Call(ctx, to, b)
	if err != nil {
		return link.Lent{}, err
	}
	lent, ok := answer.(link.Lent)
	if !ok || !lent.Known {
		return link.Lent{}, unknown.New("the daemon at %s does not know the account", to)
	}
	return lent, nil
}

// unknown is the type of errors for daemons that answer but don't know the account, because
// their configuration is older.
var unknown = errorx.NewNamespace("quota").NewType("unknown")

// recordFailure marks a daemon as suspected, unless it answered.
func (q *Quota) recordFailure(a ids.Address, err error) {
	if !errorx.IsOfType(err, unknown) {
		q.reachable.RecordFailure(a, err)
	}
}

// pickNeighbour returns a random daemon of the own data centre that is not suspected.
func (q *Quota) pickNeighbour(except ids.Address) (ids.Address, bool) {
	own := q.registry.Own()
	var list []ids.Address
	for _, r := range q.registry.All() {
		if r.Address != own.Address && r.Address != except && r.Centre == own.Centre && !q.reachable.Suspected(r.Address) {
			list = append(list, r.Address)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}

// clearUnresponsive records that a leader answered, directly or through a neighbour.
func (q *Quota) clearUnresponsive(leader ids.Address) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.unresponsiveSince, leader)
}

// batchSize returns how many tokens to borrow at once, by the recent demand.
func (q *Quota) batchSize(id ids.Account) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(1, int(q.borrowerOf(id).demand*batchDuration.Seconds()))
}

// cacheTokens stores borrowed tokens, consumes one of them, and reports whether there was one.
func (q *Quota) cacheTokens(a policy.Account, lent link.Lent) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.borrowerOf(a.ID)
	s.pauseFallback(now)
	if lent.Count == 0 {
		s.exhaustedUntil = now.Add(exhaustedPause)
		return false
	}
	if !now.Before(s.expires) {
		s.cached = 0
	}
	s.cached += lent.Count - 1
	s.expires = now.Add(tokenTTL)
	return true
}

// admitFallback records that the leader gave no answer, and decides by the fallback share.
func (q *Quota) admitFallback(a policy.Account, leader ids.Address) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.unresponsiveSince[leader]; !ok {
		q.unresponsiveSince[leader] = now
	}
	s := q.borrowerOf(a.ID)
	s.fallbackUntil = now.Add(fallbackTime)
	return s.admitFallback(a, leader, now, len(q.registry.All()))
}
