package limit

import (
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/units"
)

// sweep returns tokens that are not used and forgets quiet accounts.
func (l *Limiter) sweep() {
	tick := l.Common.Clock.Every(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			l.sweepAll(now)
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Limiter) sweepAll(now units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, acc := range l.accounts {
		acc.borrowed.Expire(now)
		if acc.busy || len(acc.queue) > 0 {
			continue
		}
		if acc.borrowed.Balance(now) == 0 {
			if now.Sub(acc.used) > forget {
				delete(l.accounts, id)
			}
			continue
		}
		if now.Sub(acc.used) > lender.Lifetime/2 {
			acc.busy = true
			l.tasks.Go(func() { l.giveBack(acc) })
		}
	}
}

// giveBack returns the tokens of an account that went quiet.
func (l *Limiter) giveBack(acc *account) {
	l.mu.Lock()
	holders := acc.borrowed.Holders()
	l.mu.Unlock()
	for _, h := range holders {
		l.ask(acc, h, 0, 0)
	}
	l.rest(acc)
}
