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
	callTimeout = lender.Lifetime / 2
	// avoidTime is how long a holder that did not answer is asked last.
	avoidTime = time.Second
	// noHolderWait is the pause while no holder answers.
	noHolderWait = 50 * time.Millisecond
	minWait      = 2 * time.Millisecond
	// maxAbandoned bounds the numbers of questions without an answer; older ones
	// have ended at the holder.
	maxAbandoned = 8
)

// round is what came of asking the holders once.
type round struct {
	got  units.Tokens
	wait time.Duration
	// whole is set when every holder answered.
	whole bool
}

// run borrows tokens for one account until nobody waits for them.
func (l *Limiter) run(acc *account) {
	for {
		need, extra, ok := l.wanted(acc)
		if !ok {
			return
		}
		r := l.askAll(acc, need, extra)
		l.give(acc)
		if r.got >= need && need > 0 {
			continue
		}
		if need == 0 {
			l.rest(acc)
			return
		}
		if r.whole {
			l.refuseLate(acc)
		}
		if l.Common.Clock.Sleep(l.ctx, r.wait) != nil {
			return
		}
	}
}

// wanted returns how many tokens to ask for. It ends the task when nobody waits
// and the batches suffice.
func (l *Limiter) wanted(acc *account) (need, extra units.Tokens, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	balance := acc.borrowed.Balance(now)
	need = max(0, units.Tokens(len(acc.queue))*units.Token-balance)
	extra = max(0, acc.demand.ahead()-balance)
	if need == 0 && balance >= acc.demand.ahead()/2 {
		acc.busy = false
		return 0, 0, false
	}
	return need, extra, true
}

// rest ends the task after borrowing ahead, unless requests came meanwhile.
func (l *Limiter) rest(acc *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acc.busy = false
	if len(acc.queue) > 0 {
		l.borrow(acc)
	}
}

// give hands tokens to the requests that wait, first come first served.
func (l *Limiter) give(acc *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	for len(acc.queue) > 0 && l.spend(now, acc) {
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
		if late(now, w, acc.limits, len(rest)) {
			w.done <- overRate(acc.limits, len(rest))
			continue
		}
		rest = append(rest, w)
	}
	acc.queue = rest
}

// askAll asks one holder, and the others for what it does not give.
func (l *Limiter) askAll(acc *account, need, extra units.Tokens) round {
	holders := l.holders(acc)
	if len(holders) == 0 {
		return round{wait: noHolderWait}
	}
	first := l.ask(acc, holders[0], need, extra)
	r := round{got: first.Amount, wait: first.Wait, whole: first.Holds}
	missing := need - first.Amount
	if missing > 0 && len(holders) > 1 {
		l.askOthers(acc, holders[1:], missing, &r)
	}
	if !r.whole {
		r.wait = min(max(r.wait, minWait), noHolderWait)
	}
	r.wait = max(r.wait/time.Duration(len(holders)), minWait)
	return r
}

// askOthers asks the rest of the holders at once for their parts.
func (l *Limiter) askOthers(acc *account, holders []ids.Daemon, missing units.Tokens, r *round) {
	// Holders lend whole tokens only.
	whole := (missing + units.Token - 1) / units.Token
	n := units.Tokens(len(holders))
	part := (whole + n - 1) / n * units.Token
	replies := make([]message.Lent, len(holders))
	var all sync.WaitGroup
	for i, h := range holders {
		all.Go(func() { replies[i] = l.ask(acc, h, part, 0) })
	}
	all.Wait()
	for _, lent := range replies {
		r.got += lent.Amount
		r.whole = r.whole && lent.Holds
		if lent.Holds {
			r.wait = max(r.wait, lent.Wait)
		}
	}
}

// ask borrows from one holder. A failure counts as an answer without tokens.
func (l *Limiter) ask(acc *account, holder ids.Daemon, need, extra units.Tokens) message.Lent {
	asked := l.Common.Clock.Now()
	q := l.question(acc, holder, asked)
	q.Need, q.Extra = need, extra
	lent, err := l.call(holder, message.Borrow{Account: acc.id, Question: q})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		acc.fail(holder, q.Number, l.Common.Clock.Now())
		return message.Lent{}
	}
	delete(acc.abandoned, holder)
	if !lent.Holds {
		// A new run of the daemon, or one that is not confirmed.
		acc.avoid[holder] = l.Common.Clock.Now().Add(avoidTime)
	}
	if lent.Amount > 0 {
		acc.borrowed.Add(batches.Batch{Holder: holder, Number: q.Number, Left: lent.Amount, Ends: asked.Add(lender.Lifetime)})
	}
	return lent
}

// fail notes a question without an answer.
func (acc *account) fail(holder ids.Daemon, number uint64, now units.Instant) {
	list := append(acc.abandoned[holder], number)
	if len(list) > maxAbandoned {
		list = list[1:]
	}
	acc.abandoned[holder] = list
	acc.avoid[holder] = now.Add(avoidTime)
}

// question makes a question that settles what the holder lent before.
func (l *Limiter) question(acc *account, holder ids.Daemon, now units.Instant) loan.Request {
	self, incarnation := l.standing.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	q := loan.Request{
		Borrower: loan.Borrower{Daemon: self, Incarnation: incarnation},
		Number:   l.number.Add(1),
	}
	for _, b := range acc.borrowed.Settle(holder, now.Add(lender.Lifetime/2)) {
		q.Settled = append(q.Settled, loan.Settled{Number: b.Number, Unused: b.Left})
	}
	for _, n := range acc.abandoned[holder] {
		q.Settled = append(q.Settled, loan.Settled{Number: n, Unused: math.MaxInt64})
	}
	return q
}

// call reaches a holder: by function call when it is this daemon.
func (l *Limiter) call(holder ids.Daemon, m message.Borrow) (message.Lent, error) {
	l.asked.Inc(1)
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

// holders returns whom to ask, in order: this daemon, those that answer, the
// rest. The first of the others changes from round to round.
func (l *Limiter) holders(acc *account) []ids.Daemon {
	r := l.standing.Roster()
	self, _ := l.standing.Self()
	l.mu.Lock()
	defer l.mu.Unlock()
	key := shareKey{account: acc.id, limits: acc.limits, version: r.Version, length: len(r.Entries)}
	s := l.shares.Get(key, func() share.Share { return share.Of(acc.id, acc.limits, r) })
	acc.turn++
	now := l.Common.Clock.Now()
	var own, good, bad []ids.Daemon
	for i := range s.Leaders {
		h := s.Leaders[(i+acc.turn)%len(s.Leaders)]
		switch {
		case now.Before(acc.avoid[h]):
			bad = append(bad, h)
		case h == self:
			own = append(own, h)
		default:
			good = append(good, h)
		}
	}
	return append(append(own, good...), append(l.trustees(acc, key, r, s.Leaders, bad), bad...)...)
}

// trustees returns the daemons that may keep the shares of holders that do not
// answer: those that would hold them if these were gone.
func (l *Limiter) trustees(acc *account, key shareKey, r roster.Roster, holders, bad []ids.Daemon) []ids.Daemon {
	if len(bad) == 0 {
		return nil
	}
	var list []ids.Daemon
	for _, gone := range bad {
		key.gone = gone
		s := l.shares.Get(key, func() share.Share { return share.Of(acc.id, acc.limits, r.Without(gone)) })
		for _, h := range s.Leaders {
			if !slices.Contains(holders, h) && !slices.Contains(list, h) {
				list = append(list, h)
			}
		}
	}
	return list
}
