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

// decideLocally decides by what this daemon has, if that is enough to decide.
func (q *Quota) decideLocally(a policy.Account, now units.Instant) (How, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.share(a.ID)
	s.count(now)
	switch {
	case now.Before(s.aloneUntil):
		return Alone, s.alone(a, now, len(q.roll.All()))
	case s.borrowed > 0 && now.Before(s.expires):
		s.borrowed--
		return Stocked, true
	case now.Before(s.emptyUntil):
		return Empty, false
	}
	return "", false
}

func (q *Quota) share(id ids.Account) *share {
	s, ok := q.local[id]
	if !ok {
		s = &share{}
		q.local[id] = s
	}
	return s
}

// borrow asks the holder, through a neighbour if need be.
func (q *Quota) borrow(ctx context.Context, a policy.Account, holder ids.Address) (How, bool) {
	b := q.question(a.ID, q.batch(a.ID), "")
	if !q.reachable.Suspected(holder) {
		lent, err := q.ask(ctx, holder, b, askTimeout)
		if err == nil {
			q.reachable.RecordAnswer(holder)
			return Asked, q.take(a, lent)
		}
		if ctx.Err() != nil {
			return Left, false
		}
		q.doubt(holder, err)
		q.Common.Info(event.HolderSilent, zap.String("account", string(a.ID)), zap.String("holder", string(holder)), common.Cause(err))
	}
	b.Leader, b.StandbyHops = holder, 0
	if at, ok := q.neighbour(holder); ok {
		if lent, err := q.ask(ctx, at, b, askTimeout); err == nil {
			q.heard(holder)
			return Asked, q.take(a, lent)
		}
	}
	return Alone, q.unanswered(a, holder)
}

// ask puts one question. An answer of a daemon that does not know the account is none.
func (q *Quota) ask(ctx context.Context, to ids.Address, b link.Borrow, timeout time.Duration) (link.Lent, error) {
	ctx, cancel := q.Common.Clock.Within(ctx, timeout)
	defer cancel()
	answer, err := q.link.Call(ctx, to, b)
	if err != nil {
		return link.Lent{}, err
	}
	lent, ok := answer.(link.Lent)
	if !ok || !lent.Known {
		return link.Lent{}, unknown.New("the daemon at %s does not know the account", to)
	}
	return lent, nil
}

// unknown is the type of errors of daemons that answer and do not know the account, because
// their configuration is older.
var unknown = errorx.NewNamespace("quota").NewType("unknown")

// doubt notes that a daemon did not answer.
func (q *Quota) doubt(a ids.Address, err error) {
	if !errorx.IsOfType(err, unknown) {
		q.reachable.RecordFailure(a, err)
	}
}

// neighbour draws another daemon of the own data centre that can be reached.
func (q *Quota) neighbour(but ids.Address) (ids.Address, bool) {
	own := q.roll.Own()
	var list []ids.Address
	for _, r := range q.roll.All() {
		if r.Address != own.Address && r.Address != but && r.Centre == own.Centre && !q.reachable.Suspected(r.Address) {
			list = append(list, r.Address)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[rand.IntN(len(list))], true
}

// heard notes that a holder answered, by whatever way.
func (q *Quota) heard(holder ids.Address) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.silent, holder)
}

func (q *Quota) batch(id ids.Account) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(1, int(q.share(id).demand*batchTime.Seconds()))
}

func (q *Quota) take(a policy.Account, lent link.Lent) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.share(a.ID)
	if lent.Count == 0 {
		s.emptyUntil = now.Add(emptyPause)
		return false
	}
	if !now.Before(s.expires) {
		s.borrowed = 0
	}
	s.borrowed += lent.Count - 1
	s.expires = now.Add(keepTime)
	return true
}

func (q *Quota) unanswered(a policy.Account, holder ids.Address) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, ok := q.silent[holder]; !ok {
		q.silent[holder] = now
	}
	s := q.share(a.ID)
	s.aloneUntil = now.Add(shareTimeout)
	return s.alone(a, now, len(q.roll.All()))
}
