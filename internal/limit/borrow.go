package limit

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/batches"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// callTimeout is how long a leader may take to answer.
	callTimeout = lender.BatchLifetime / 2
	// avoidPeriod is how long a leader that did not answer is asked last.
	avoidPeriod = time.Second
	// noLeaderWait is the pause while no leader answers.
	noLeaderWait = 50 * time.Millisecond
	minWait      = 2 * time.Millisecond
	// maxUnanswered bounds the requests to one leader without an answer that are
	// recorded. The grants of older ones have expired at the leader.
	maxUnanswered = 8
)

// borrowResult is the result of asking the leaders once.
type borrowResult struct {
	granted units.Tokens
	wait    time.Duration
	// complete is set when every daemon that was asked answered that it has a share.
	complete bool
}

// borrowUntilServed borrows tokens for one account until no request waits for them. It
// runs in a task of its own while the account's borrowing is set.
func (l *Limiter) borrowUntilServed(acc *account) {
	for {
		need, extra, ok := l.needOrEnd(acc)
		if !ok {
			return
		}
		r := l.borrowFromAll(acc, need, extra)
		l.serveWaiters(acc)
		if r.granted >= need && need > 0 {
			continue
		}
		if need == 0 {
			l.endTask(acc)
			return
		}
		if r.complete {
			l.refuseLate(acc)
		}
		if l.Common.Clock.Sleep(l.ctx, r.wait) != nil {
			return
		}
	}
}

// needOrEnd returns how many tokens to ask for. When no request waits and the cached
// tokens suffice, it clears borrowing and returns false, which ends the task.
func (l *Limiter) needOrEnd(acc *account) (need, extra units.Tokens, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	balance := acc.cached.Balance(now)
	need = max(0, units.Tokens(len(acc.queue))*units.Token-balance)
	extra = max(0, acc.demand.prefetchTokens()-balance)
	if need == 0 && balance >= acc.demand.prefetchTokens()/2 {
		acc.borrowing = false
		return 0, 0, false
	}
	return need, extra, true
}

// endTask clears borrowing, and starts a new task if requests have come meanwhile.
func (l *Limiter) endTask(acc *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acc.borrowing = false
	if len(acc.queue) > 0 {
		l.startBorrowing(acc)
	}
}

// serveWaiters gives cached tokens to the waiting requests, first come first served.
func (l *Limiter) serveWaiters(acc *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	for len(acc.queue) > 0 && l.consumeCached(now, acc) {
		acc.queue[0].done <- nil
		acc.queue = acc.queue[1:]
	}
}

// refuseLate refuses the requests whose turn comes after their deadline.
func (l *Limiter) refuseLate(acc *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	var rest []*waiter
	for _, w := range acc.queue {
		if turnAfterDeadline(now, w, acc.limits, len(rest)) {
			w.done <- overRate(acc.limits, len(rest))
			continue
		}
		rest = append(rest, w)
	}
	acc.queue = rest
}

// borrowFromAll asks one leader for tokens, and the others for what it doesn't lend.
func (l *Limiter) borrowFromAll(acc *account, need, extra units.Tokens) borrowResult {
	leaders := l.leaders(acc)
	if len(leaders) == 0 {
		return borrowResult{wait: noLeaderWait}
	}
	first := l.borrowFrom(acc, leaders[0], need, extra)
	r := borrowResult{granted: first.Amount, wait: first.Wait, complete: first.IsLeader}
	missing := need - first.Amount
	if missing > 0 && len(leaders) > 1 {
		l.borrowFromOthers(acc, leaders[1:], missing, &r)
	}
	if !r.complete {
		r.wait = min(max(r.wait, minWait), noLeaderWait)
	}
	r.wait = max(r.wait/time.Duration(len(leaders)), minWait)
	return r
}

// borrowFromOthers asks the given leaders concurrently, each for an equal part.
func (l *Limiter) borrowFromOthers(acc *account, leaders []ids.Daemon, missing units.Tokens, r *borrowResult) {
	// Leaders lend whole tokens only.
	whole := (missing + units.Token - 1) / units.Token
	n := units.Tokens(len(leaders))
	part := (whole + n - 1) / n * units.Token
	replies := make([]message.Lent, len(leaders))
	var all sync.WaitGroup
	for i, leader := range leaders {
		all.Go(func() { replies[i] = l.borrowFrom(acc, leader, part, 0) })
	}
	all.Wait()
	for _, lent := range replies {
		r.granted += lent.Amount
		r.complete = r.complete && lent.IsLeader
		if lent.IsLeader {
			r.wait = max(r.wait, lent.Wait)
		}
	}
}

// borrowFrom borrows from one leader and adds the batch to the cache. A failure counts
// as an answer without tokens.
func (l *Limiter) borrowFrom(acc *account, leader ids.Daemon, need, extra units.Tokens) message.Lent {
	sentAt := l.Common.Clock.Now()
	request := l.newRequest(acc, leader, sentAt)
	request.Need, request.Extra = need, extra
	lent, err := l.callLeader(leader, message.Borrow{Account: acc.id, Request: request})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		acc.recordUnanswered(leader, request.Number, l.Common.Clock.Now())
		return message.Lent{}
	}
	delete(acc.unanswered, leader)
	if !lent.IsLeader {
		// The daemon has been restarted, or has no read lease.
		acc.avoidUntil[leader] = l.Common.Clock.Now().Add(avoidPeriod)
	}
	if lent.Amount > 0 {
		acc.cached.Add(batches.Batch{Leader: leader, Number: request.Number, Left: lent.Amount, ExpiresAt: sentAt.Add(lender.BatchLifetime)})
	}
	return lent
}

// recordUnanswered records a request without an answer and has its leader asked last for
// a while. The caller holds the lock.
func (acc *account) recordUnanswered(leader ids.Daemon, number uint64, now units.Instant) {
	list := append(acc.unanswered[leader], number)
	if len(list) > maxUnanswered {
		list = list[1:]
	}
	acc.unanswered[leader] = list
	acc.avoidUntil[leader] = now.Add(avoidPeriod)
}

// newRequest returns a request that settles the leader's earlier grants: batches that are
// used up or expire soon, and requests that got no answer.
func (l *Limiter) newRequest(acc *account, leader ids.Daemon, now units.Instant) loan.Request {
	self, incarnation := l.lease.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	request := loan.Request{
		Borrower: loan.Borrower{Daemon: self, Incarnation: incarnation},
		Number:   l.lastNumber.Add(1),
	}
	for _, b := range acc.cached.Settle(leader, now.Add(lender.BatchLifetime/2)) {
		request.Settled = append(request.Settled, loan.Settlement{Number: b.Number, Unused: b.Left})
	}
	for _, n := range acc.unanswered[leader] {
		request.Settled = append(request.Settled, loan.Settlement{Number: n, Unused: math.MaxInt64})
	}
	return request
}

// callLeader sends a request to a leader and waits for the answer. This daemon's own
// share is reached by a function call.
func (l *Limiter) callLeader(leader ids.Daemon, m message.Borrow) (message.Lent, error) {
	l.requests.Inc(1)
	if leader == m.Request.Borrower.Daemon {
		return l.lender.Lend(leader, m), nil
	}
	ctx, cancel := l.Common.Clock.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	reply, err := l.peers.Call(ctx, leader, m)
	if err != nil {
		return message.Lent{}, err
	}
	lent, ok := reply.(message.Lent)
	if !ok {
		return message.Lent{}, context.Canceled
	}
	return lent, nil
}

// leaders returns the daemons to ask, in this order: this daemon if it is a leader, the
// other leaders, the standbys of leaders that did not answer, and these leaders. The
// order of the other leaders changes from round to round.
func (l *Limiter) leaders(acc *account) []ids.Daemon {
	r := l.lease.Roster()
	self, _ := l.lease.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	key := shareKey{account: acc.id, limits: acc.limits, version: r.Version, length: len(r.Entries)}
	s := l.shares.Get(key, func() share.Share { return share.Of(acc.id, acc.limits, r) })
	acc.rotation++
	now := l.Common.Clock.Now()
	var own, others, avoided []ids.Daemon
	for i := range s.Leaders {
		leader := s.Leaders[(i+acc.rotation)%len(s.Leaders)]
		switch {
		case now.Before(acc.avoidUntil[leader]):
			avoided = append(avoided, leader)
		case leader == self:
			own = append(own, leader)
		default:
			others = append(others, leader)
		}
	}
	return append(append(own, others...), append(l.standbys(acc, key, r, s.Leaders, avoided), avoided...)...)
}

// standbys returns the daemons that may have the shares of leaders that do not answer:
// those that would be leaders if these were not in the roster. The caller holds the lock.
func (l *Limiter) standbys(acc *account, key shareKey, r roster.Roster, leaders, avoided []ids.Daemon) []ids.Daemon {
	if len(avoided) == 0 {
		return nil
	}
	var list []ids.Daemon
	for _, excluded := range avoided {
		key.excluded = excluded
		s := l.shares.Get(key, func() share.Share { return share.Of(acc.id, acc.limits, r.Without(excluded)) })
		for _, leader := range s.Leaders {
			if !slices.Contains(leaders, leader) && !slices.Contains(list, leader) {
				list = append(list, leader)
			}
		}
	}
	return list
}
