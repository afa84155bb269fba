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
	// checkInterval lies between two questions whether another daemon stands in: within the
	// time in which a holder counts as lost.
	checkInterval = time.Second
	// minIdle is how long after the last question of another daemon a holder asks whether
	// the others can't reach it: longer than such a question takes.
	minIdle = 300 * time.Millisecond
	// maxIdle is after how long without questions a holder takes it that nobody has any.
	maxIdle = 2 * time.Second
	// restrictTime is for how long a holder that others can't reach keeps to its own part of the
	// limit: until they have another holder.
	restrictTime = failoverAfter
	// yieldTime is for how long a holder leaves an account to the one that stands in.
	yieldTime = 2 * time.Second
)

// checkDue reports whether it is time to ask if others have lost this daemon.
func (h *leaderState) checkDue(now units.Instant) bool {
	since, idle := now.Sub(h.lastCheck), now.Sub(h.lastBorrow)
	return h.lastCheck == 0 || since >= checkInterval ||
		(since >= minIdle && idle >= minIdle && idle < maxIdle)
}

// recordBorrow notes that another daemon borrows, so it reaches this one.
func (q *Quota) recordBorrow(id ids.Account) {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.led[id]; ok {
		h.lastBorrow, h.restrictedUntil = now, 0
	}
}

// recordLoan notes that this daemon lent. It may have done so in the place of the account's
// holder, which then learns of it when it asks; one that asked for it knows.
func (q *Quota) recordLoan(id ids.Account, now units.Instant) {
	if q.highestRanked(id, anyDaemon) == q.registry.Own().Address {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.led[id]; ok {
		h.lastStandbyLoan = now
	}
}

// isStandby reports whether this daemon lent lately in the place of the account's holder.
func (q *Quota) isStandby(id ids.Account) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[id]
	return ok && h.lastStandbyLoan > 0 && now.Sub(h.lastStandbyLoan) < standbyIdle
}

// isUnresponsive reports whether a daemon gave no answer lately by any way.
func (q *Quota) isUnresponsive(a ids.Address) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, unresponsive := q.unresponsiveSince[a]
	return unresponsive && q.reachable.Suspected(a)
}

// checkStandby asks the daemon that would stand in for this one whether it does: others may have
// lost this daemon, although it reaches them. It then leaves the account to that daemon for
// a while. Until that one stands in, the others use their own parts of the limit, and so
// does this one.
func (q *Quota) checkStandby(id ids.Account) {
	now := q.Common.Clock.Now()
	own := q.registry.Own().Address
	next := q.highestRanked(id, func(a ids.Address) bool { return a != own && !q.isLost(a, now) })
	if next == own {
		return
	}
	lent, err := q.sendBorrow(q.ctx, next, link.Borrow{Account: id, Check: true, Leader: own}, forwardTimeout)
	if err != nil || (!lent.Standby && !lent.NoAnswer) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[id]
	if !ok {
		return
	}
	now = q.Common.Clock.Now()
	if lent.Standby {
		h.yieldUntil = now.Add(yieldTime)
		q.Common.Info(event.HolderYields, zap.String("account", string(id)), zap.String("holder", string(next)))
		return
	}
	h.restrictedUntil = now.Add(restrictTime)
	q.Common.Info(event.HolderAloof, zap.String("account", string(id)), zap.String("asked", string(next)))
}
