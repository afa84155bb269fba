// Package holding is one holder's share of a client account's tokens.
//
// # Usage
//
//	h := holding.Holding{Lifetime: time.Second}
//	h.Begin(start, 0, rate, burst)
//	n := h.Lend(now, holding.Question{Borrower: "vm7", Number: 4, Need: units.Token})
//
// The balance and the tokens that borrowers may still spend never exceed the
// burst together. So what is spent in any interval is at most the burst plus what
// the rate yields in it, wherever the tokens are spent.
package loan

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// extraDivisor bounds tokens lent ahead of demand to a part of the balance.
const extraDivisor = 8

// maxSettled bounds the memory of settled numbers. Without it, a question that
// comes late gets a grant that nobody spends.
const maxSettled = 4096

// Bucket is a token bucket with the grants that are still out.
type Bucket struct {
	// Lifetime is how long after its loan a grant counts as spendable.
	Lifetime time.Duration

	bucket bucket.Bucket
	rate   units.Rate
	burst  units.Tokens
	// grants are in order of their end.
	grants []grant
	// outstanding is the sum of the grants.
	outstanding units.Tokens
	// settled is each borrower's highest settled number.
	settled map[Borrower]uint64
	// lent counts tokens lent and not returned; due is the most that it may be.
	lent      units.Tokens
	allowed   float64
	allowedAt units.Instant
}

// Borrower is one run of a daemon.
type Borrower struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
}

// Request asks for tokens. Need is for requests that wait now and Extra for
// those that are expected.
type Request struct {
	Borrower Borrower
	// Number is higher than those of the borrower's earlier questions.
	Number  uint64
	Need    units.Tokens
	Extra   units.Tokens
	Settled []Settlement
}

// Settlement tells that the borrower will spend nothing more of a grant.
type Settlement struct {
	Number uint64
	Unused units.Tokens
}

type grant struct {
	borrower  Borrower
	number    uint64
	amount    units.Tokens
	expiresAt units.Instant
}

// Start starts the holding at an instant, which may lie ahead: until then it
// does not fill.
func (b *Bucket) Start(start units.Instant, balance units.Tokens, rate units.Rate, burst units.Tokens) {
	b.rate, b.burst = rate, burst
	b.bucket = bucket.Bucket{Rate: rate, Burst: burst}
	b.bucket.SetBalance(start, balance)
	b.allowed = float64(min(balance, burst))
	b.allowedAt = start
}

// Resume starts the holding with the balance that an earlier holder let go at an
// instant. Until one lifetime after it, borrowers may still spend what was out.
func (b *Bucket) Resume(start units.Instant, balance, out units.Tokens, rate units.Rate, burst units.Tokens) {
	b.Start(start, balance, rate, burst)
	if out <= 0 {
		return
	}
	b.outstanding = min(out, burst)
	b.grants = []grant{{amount: b.outstanding, expiresAt: start.Add(b.Lifetime)}}
	b.capBalance(start)
}

// Close returns the balance and what is out, for the next holder. The holding
// must not be used any more.
func (b *Bucket) Close(now units.Instant) (balance, out units.Tokens) {
	b.advance(now)
	return b.bucket.Balance(now), b.outstanding
}

// Resize applies changed limits from an instant on.
func (b *Bucket) Resize(now units.Instant, rate units.Rate, burst units.Tokens) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.capBalance(now)
}

// Lend answers a question. The same question again gets the same grant.
func (b *Bucket) Lend(now units.Instant, r Request) units.Tokens {
	b.advance(now)
	for _, s := range r.Settled {
		b.settle(now, r.Borrower, s)
	}
	if r.Number <= b.settled[r.Borrower] || r.Need < 0 || r.Extra < 0 {
		return 0
	}
	for _, g := range b.grants {
		if g.borrower == r.Borrower && g.number == r.Number {
			return g.amount
		}
	}
	amount := b.grantAmount(now, r)
	if amount == 0 || !b.bucket.Consume(now, amount) {
		return 0
	}
	b.outstanding += amount
	b.lent += amount
	b.grants = append(b.grants, grant{borrower: r.Borrower, number: r.Number, amount: amount, expiresAt: now.Add(b.Lifetime)})
	b.capBalance(now)
	return amount
}

// grantAmount decides how much to lend: the need as far as possible, and a part of
// what is left for the extra. Only whole tokens are lent, so that two borrowers
// never wait for each other's fractions.
func (b *Bucket) grantAmount(now units.Instant, r Request) units.Tokens {
	balance := b.bucket.Balance(now)
	need := min(r.Need, balance)
	extra := min(r.Extra, (balance-need)/extraDivisor)
	return (need + extra) / units.Token * units.Token
}

// settle ends a grant and takes back what was not used of it.
func (b *Bucket) settle(now units.Instant, from Borrower, s Settlement) {
	for i, g := range b.grants {
		if g.borrower != from || g.number != s.Number {
			continue
		}
		unused := max(0, min(s.Unused, g.amount))
		b.grants = append(b.grants[:i], b.grants[i+1:]...)
		b.outstanding -= g.amount
		b.lent -= unused
		b.capBalance(now)
		b.bucket.Refund(now, unused)
		break
	}
	if b.settled == nil || len(b.settled) > maxSettled {
		b.settled = map[Borrower]uint64{}
	}
	b.settled[from] = max(b.settled[from], s.Number)
}

// advance fills the bucket up to an instant and ends the grants that expired.
func (b *Bucket) advance(now units.Instant) {
	for len(b.grants) > 0 && !now.Before(b.grants[0].expiresAt) {
		g := b.grants[0]
		b.grants = b.grants[1:]
		b.bucket.Balance(g.expiresAt)
		b.outstanding -= g.amount
		b.capBalance(g.expiresAt)
	}
	b.bucket.Balance(now)
	if b.allowedAt.Before(now) {
		b.allowed += float64(b.rate) * now.Sub(b.allowedAt).Seconds() * float64(units.Token)
		b.allowedAt = now
	}
}

// capBalance leaves room in the bucket for what is out.
func (b *Bucket) capBalance(now units.Instant) {
	b.bucket.Resize(now, b.rate, max(0, b.burst-b.outstanding))
}

// TimeUntil returns how long it takes until n tokens are there.
func (b *Bucket) TimeUntil(now units.Instant, n units.Tokens) time.Duration {
	b.advance(now)
	return b.bucket.TimeUntil(now, n)
}

// Bounded reports whether no more was lent than what the holding began with and
// the rate has yielded since.
func (b *Bucket) Bounded() bool {
	return float64(b.lent) <= b.allowed+1 && b.outstanding >= 0
}

// Idle reports whether the holding is full with nothing out, so that it can be
// dropped and begun again in full.
func (b *Bucket) Idle(now units.Instant) bool {
	b.advance(now)
	return len(b.grants) == 0 && b.bucket.Balance(now) >= b.burst
}
