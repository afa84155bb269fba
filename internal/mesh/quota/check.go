package quota

import (
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// checkPause lies between two questions whether another daemon stands in: within the
	// time in which a holder counts as lost.
	checkPause = time.Second
	// quietAfter is how long after the last question of another daemon a holder asks whether
	// the others can't reach it: longer than such a question takes.
	quietAfter = 300 * time.Millisecond
	// quietUntil is after how long without questions a holder takes it that nobody has any.
	quietUntil = 2 * time.Second
	// aloofTime is for how long a holder that others can't reach keeps to its own part of the
	// limit: until they have another holder.
	aloofTime = lostAfter
	// yieldTime is for how long a holder leaves an account to the one that stands in.
	yieldTime = 2 * time.Second
)

// checkDue reports whether it is time to ask if others have lost this daemon.
func (h *account) checkDue(now units.Instant) bool {
	since, quiet := now.Sub(h.checked), now.Sub(h.asked)
	return h.checked == 0 || since >= checkPause ||
		(since >= quietAfter && quiet >= quietAfter && quiet < quietUntil)
}

// noteAsked notes that another daemon borrows, so it reaches this one.
func (q *Quota) noteAsked(id ids.Account) {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.held[id]; ok {
		h.asked, h.aloofUntil = now, 0
	}
}

// noteStood notes that this daemon lent. It may have done so in the place of the account's
// holder, which then learns of it when it asks; one that asked for it knows.
func (q *Quota) noteStood(id ids.Account, now units.Instant) {
	if q.first(id, anyone) == q.roll.Own().Address {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.held[id]; ok {
		h.stood = now
	}
}

// standsIn reports whether this daemon lent lately in the place of the account's holder.
func (q *Quota) standsIn(id ids.Account) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[id]
	return ok && h.stood > 0 && now.Sub(h.stood) < idleTime
}

// isSilent reports whether a daemon gave no answer lately by any way.
func (q *Quota) isSilent(a ids.Address) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, silent := q.silent[a]
	return silent && q.reachable.Suspected(a)
}

// check asks the daemon that would stand in for this one whether it does: others may have
// lost this daemon, although it reaches them. It then leaves the account to that daemon for
// a while. Until that one stands in, the others use their own parts of the limit, and so
// does this one.
func (q *Quota) check(id ids.Account) {
	now := q.Common.Clock.Now()
	own := q.roll.Own().Address
	next := q.first(id, func(a ids.Address) bool { return a != own && !q.lost(a, now) })
	if next == own {
		return
	}
	lent, err := q.ask(q.ctx, next, link.Borrow{Account: id, Check: true, Leader: own}, passTimeout)
	if err != nil || (!lent.Standby && !lent.NoAnswer) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[id]
	if !ok {
		return
	}
	now = q.Common.Clock.Now()
	if lent.Standby {
		h.yieldUntil = now.Add(yieldTime)
		q.Common.Info(event.HolderYields, zap.String("account", string(id)), zap.String("holder", string(next)))
		return
	}
	h.aloofUntil = now.Add(aloofTime)
	q.Common.Info(event.HolderAloof, zap.String("account", string(id)), zap.String("asked", string(next)))
}
