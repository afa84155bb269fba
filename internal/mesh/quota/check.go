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
	// checkInterval is the time between two checks for a standby. It is shorter than the time
	// after which a leader is replaced.
	checkInterval = time.Second
	// minIdle is after how long without a Borrow a leader checks whether others can't reach it.
	// It is longer than a Borrow takes.
	minIdle = 300 * time.Millisecond
	// maxIdle is after how long without a Borrow a leader assumes that there is no demand.
	maxIdle = 2 * time.Second
	// restrictTime is for how long a leader that others can't reach lends only its own equal
	// share of the limit. By its end they have another leader.
	restrictTime = failoverAfter
	// yieldTime is for how long a leader leaves an account to its standby.
	yieldTime = 2 * time.Second
)

// checkDue reports whether it is time to check whether others have lost this daemon.
func (h *leaderState) checkDue(now units.Instant) bool {
	since, idle := now.Sub(h.lastCheck), now.Sub(h.lastBorrow)
	return h.lastCheck == 0 || since >= checkInterval ||
		(since >= minIdle && idle >= minIdle && idle < maxIdle)
}

// recordBorrow records that another daemon borrows, which shows that it reaches this one.
func (q *Quota) recordBorrow(id ids.Account) {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.led[id]; ok {
		h.lastBorrow, h.restrictedUntil = now, 0
	}
}

// recordLoan records a loan that this daemon made, possibly as standby of the account's leader.
// The leader learns of that from its next check. Callers leave out the loans that a yielding
// leader requested, since that leader knows of them.
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

// isStandby reports whether this daemon recently lent in place of the account's leader.
func (q *Quota) isStandby(id ids.Account) bool {
	now := q.Common.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.led[id]
	return ok && h.lastStandbyLoan > 0 && now.Sub(h.lastStandbyLoan) < standbyIdle
}

// isUnresponsive reports whether a daemon recently gave no answer, neither directly nor through
// a neighbour.
func (q *Quota) isUnresponsive(a ids.Address) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, unresponsive := q.unresponsiveSince[a]
	return unresponsive && q.reachable.Suspected(a)
}

// checkStandby asks the daemon that would be this one's standby whether it lends: others may
// have lost this daemon although it reaches them. If so, this daemon leaves the account to the
// standby for a while. Until the standby lends, the others use their fallback shares, and this
// daemon its own equal share.
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
		q.Common.Info(event.LeaderDeferred, zap.String("account", string(id)), zap.String("holder", string(next)))
		return
	}
	h.restrictedUntil = now.Add(restrictTime)
	q.Common.Info(event.LeaderSuspected, zap.String("account", string(id)), zap.String("asked", string(next)))
}
