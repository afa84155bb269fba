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
	// callTimeout is how long a holder may take to answer.
	callTimeout = lender.BatchLifetime / 2
	// avoidPeriod is how long a holder that did not answer is asked last.
	avoidPeriod = time.Second
	// noLeaderWait is the pause while no holder answers.
	noLeaderWait = 50 * time.Millisecond
	minWait      = 2 * time.Millisecond
	// maxUnanswered bounds the numbers of questions without an answer; older ones
	// have ended at the holder.
	maxUnanswered = 8
)

// borrowResult is what came of asking the holders once.
type borrowResult struct {
	granted units.Tokens
	wait    time.Duration
	// complete is set when every holder answered.
	complete bool
}

// borrowUntilServed borrows tokens for one account until nobody waits for them.
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

// needOrEnd returns how many tokens to ask for. It ends the task when nobody waits
// and the batches suffice.
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

// endTask ends the task after borrowing ahead, unless requests came meanwhile.
func (l *Limiter) endTask(acc *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acc.borrowing = false
	if len(acc.queue) > 0 {
		l.startBorrowing(acc)
	}
}

// serveWaiters hands tokens to the requests that wait, first come first served.
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

// borrowFromAll asks one holder, and the others for what it does not give.
func (l *Limiter) borrowFromAll(acc *account, need, extra units.Tokens) borrowResult {
	holders := l.leaders(acc)
	if len(holders) == 0 {
		return borrowResult{wait: noLeaderWait}
	}
	first := l.borrowFrom(acc, holders[0], need, extra)
	r := borrowResult{granted: first.Amount, wait: first.Wait, complete: first.Holds}
	missing := need - first.Amount
	if missing > 0 && len(holders) > 1 {
		l.borrowFromOthers(acc, holders[1:], missing, &r)
	}
	if !r.complete {
		r.wait = min(max(r.wait, minWait), noLeaderWait)
	}
	r.wait = max(r.wait/time.Duration(len(holders)), minWait)
	return r
}

// borrowFromOthers asks the rest of the holders at once for their parts.
func (l *Limiter) borrowFromOthers(acc *account, holders []ids.Daemon, missing units.Tokens, r *borrowResult) {
	// Holders lend whole tokens only.
	whole := (missing + units.Token - 1) / units.Token
	n := units.Tokens(len(holders))
	part := (whole + n - 1) / n * units.Token
	replies := make([]message.Lent, len(holders))
	var all sync.WaitGroup
	for i, h := range holders {
		all.Go(func() { replies[i] = l.borrowFrom(acc, h, part, 0) })
	}
	all.Wait()
	for _, lent := range replies {
		r.granted += lent.Amount
		r.complete = r.complete && lent.Holds
		if lent.Holds {
			r.wait = max(r.wait, lent.Wait)
		}
	}
}

// borrowFrom borrows from one holder. A failure counts as an answer without tokens.
func (l *Limiter) borrowFrom(acc *account, holder ids.Daemon, need, extra units.Tokens) message.Lent {
	asked := l.Common.Clock.Now()
	q := l.newRequest(acc, holder, asked)
	q.Need, q.Extra = need, extra
	lent, err := l.callLeader(holder, message.Borrow{Account: acc.id, Question: q})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		acc.recordUnanswered(holder, q.Number, l.Common.Clock.Now())
		return message.Lent{}
	}
	delete(acc.unanswered, holder)
	if !lent.Holds {
		// A new run of the daemon, or one that is not confirmed.
		acc.avoidUntil[holder] = l.Common.Clock.Now().Add(avoidPeriod)
	}
	if lent.Amount > 0 {
		acc.cached.Add(batches.Batch{Holder: holder, Number: q.Number, Left: lent.Amount, Ends: asked.Add(lender.BatchLifetime)})
	}
	return lent
}

// recordUnanswered notes a question without an answer.
func (acc *account) recordUnanswered(holder ids.Daemon, number uint64, now units.Instant) {
	list := append(acc.unanswered[holder], number)
	if len(list) > maxUnanswered {
		list = list[1:]
	}
	acc.unanswered[holder] = list
	acc.avoidUntil[holder] = now.Add(avoidPeriod)
}

// newRequest makes a newRequest that settles what the holder lent before.
func (l *Limiter) newRequest(acc *account, holder ids.Daemon, now units.Instant) loan.Request {
	self, incarnation := l.lease.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := loan.Request{
		Borrower: loan.Borrower{Daemon: self, Incarnation: incarnation},
		Number:   l.lastNumber.Add(1),
	}
	for _, b := range acc.cached.Settle(holder, now.Add(lender.BatchLifetime/2)) {
		q.Settled = append(q.Settled, loan.Settled{Number: b.Number, Unused: b.Left})
	}
	for _, n := range acc.unanswered[holder] {
		q.Settled = append(q.Settled, loan.Settled{Number: n, Unused: math.MaxInt64})
	}
	return q
}

// callLeader reaches a holder: by function callLeader when it is this daemon.
func (l *Limiter) callLeader(holder ids.Daemon, m message.Borrow) (message.Lent, error) {
	l.requests.Inc(1)
	if holder == m.Question.Borrower.Daemon {
		return l.lender.Lend(holder, m), nil
	}
	ctx, cancel := l.Common.Clock.Within(l.ctx, callTimeout)
	defer cancel()
	reply, err := l.peers.Call(ctx, holder, m)
	if err != nil {
		return message.Lent{}, err
	}
	lent, ok := reply.(message.Lent)
	if !ok {
		return message.Lent{}, context.Canceled
	}
	return lent, nil
}

// leaders returns whom to ask, in order: this daemon, those that answer, the
// rest. The first of the others changes from round to round.
func (l *Limiter) leaders(acc *account) []ids.Daemon {
	r := l.lease.Roster()
	self, _ := l.lease.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	key := shareKey{account: acc.id, limits: acc.limits, version: r.Version, length: len(r.Entries)}
	s := l.shares.Get(key, func() share.Share { return share.Of(acc.id, acc.limits, r) })
	acc.rotation++
	now := l.Common.Clock.Now()
	var own, good, bad []ids.Daemon
	for i := range s.Leaders {
		h := s.Leaders[(i+acc.rotation)%len(s.Leaders)]
		switch {
		case now.Before(acc.avoidUntil[h]):
			bad = append(bad, h)
		case h == self:
			own = append(own, h)
		default:
			good = append(good, h)
		}
	}
	return append(append(own, good...), append(l.standbys(acc, key, r, s.Leaders, bad), bad...)...)
}

// standbys returns the daemons that may keep the shares of holders that do not
// answer: those that would hold them if these were gone.
func (l *Limiter) standbys(acc *account, key shareKey, r roster.Roster, holders, bad []ids.Daemon) []ids.Daemon {
	if len(bad) == 0 {
		return nil
	}
	var list []ids.Daemon
	for _, gone := range bad {
		key.excluded = gone
		s := l.shares.Get(key, func() share.Share { return share.Of(acc.id, acc.limits, r.Without(gone)) })
		for _, h := range s.Leaders {
			if !slices.Contains(holders, h) && !slices.Contains(list, h) {
				list = append(list, h)
			}
		}
	}
	return list
}
