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
		acc.cached.Expire(now)
		if acc.borrowing || len(acc.queue) > 0 {
			continue
		}
		if acc.cached.Balance(now) == 0 {
			if now.Sub(acc.lastUsed) > accountRetention {
				delete(l.accounts, id)
			}
			continue
		}
		if now.Sub(acc.lastUsed) > lender.BatchLifetime/2 {
			acc.borrowing = true
			l.tasks.Go(func() { l.returnTokens(acc) })
		}
	}
}

// returnTokens returns the tokens of an account that went quiet.
func (l *Limiter) returnTokens(acc *account) {
	l.mu.Lock()
	holders := acc.cached.Holders()
	l.mu.Unlock()
	for _, h := range holders {
		l.borrowFrom(acc, h, 0, 0)
	}
	l.endTask(acc)
}
