// Package loan implements the token bucket of one quota leader's share of a client
// account, and the grants that it lends to other daemons.
//
// # Usage
//
//	b := loan.Bucket{Lifetime: time.Second}
//	b.Start(start, 0, rate, burst)
//	n := b.Lend(now, loan.Request{Borrower: borrower, Number: 4, Need: units.Token})
//
// The balance and the tokens that borrowers may still spend never exceed the burst
// together. So the tokens spent in any interval are at most the burst plus what the
// rate yields in that interval, wherever they are spent.
package loan

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// extraDivisor limits the tokens lent ahead of demand to one part in extraDivisor of the
// balance.
const extraDivisor = 8

// maxSettled bounds the number of borrowers whose settled requests are recorded. A
// delayed duplicate of a request that is no longer recorded gets a grant that
// nobody spends.
const maxSettled = 4096

// Bucket is a token bucket with its outstanding grants.
type Bucket struct {
	// Lifetime is how long a grant is counted as spendable after it was lent.
	Lifetime time.Duration

	bucket bucket.Bucket
	rate   units.Rate
	burst  units.Tokens
	// grants are in the order in which they expire.
	grants []grant
	// outstanding is the sum of the grants.
	outstanding units.Tokens
	// settled is the highest settled request number of each borrower.
	settled map[Borrower]uint64
	// lent counts the tokens lent and not returned; allowed is its upper bound as of
	// allowedAt.
	lent      units.Tokens
	allowed   float64
	allowedAt units.Instant
}

// Borrower is one process of a daemon.
type Borrower struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
}

// Request asks for tokens and settles earlier grants. Need is for the client requests
// that wait now, Extra for those that are expected.
type Request struct {
	Borrower Borrower
	// Number is higher than those of the borrower's earlier requests.
	Number  uint64
	Need    units.Tokens
	Extra   units.Tokens
	Settled []Settlement
}

// Settlement ends the grant of an earlier request: the borrower spends nothing more of
// it and returns Unused.
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

// Start sets the limits and the balance. The bucket fills from start on, which may lie
// in the future.
func (b *Bucket) Start(start units.Instant, balance units.Tokens, rate units.Rate, burst units.Tokens) {
	b.rate, b.burst = rate, burst
	b.bucket = bucket.Bucket{Rate: rate, Burst: burst}
	b.bucket.SetBalance(start, balance)
	b.allowed = float64(min(balance, burst))
	b.allowedAt = start
}

// Resume starts the bucket with what an earlier quota leader released at start: the
// balance, and the outstanding tokens, which borrowers may still spend until one
// Lifetime after start.
func (b *Bucket) Resume(start units.Instant, balance, out units.Tokens, rate units.Rate, burst units.Tokens) {
	b.Start(start, balance, rate, burst)
	if out <= 0 {
		return
	}
	b.outstanding = min(out, burst)
	b.grants = []grant{{amount: b.outstanding, expiresAt: start.Add(b.Lifetime)}}
	b.capBalance(start)
}

// Close returns the balance and the outstanding tokens for the next quota leader. The
// bucket must not be used after it.
func (b *Bucket) Close(now units.Instant) (balance, out units.Tokens) {
	b.advance(now)
	return b.bucket.Balance(now), b.outstanding
}

// Resize applies changed limits from now on.
func (b *Bucket) Resize(now units.Instant, rate units.Rate, burst units.Tokens) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.capBalance(now)
}

// Lend settles the grants that the request names and returns the number of tokens lent
// to its borrower. A duplicate of a request gets the same grant; one that was settled
// gets 0.
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

// grantAmount returns how much to lend: the need as far as the balance allows, and for
// the extra at most a part of what is left. Only whole tokens are lent, because two
// borrowers with a fraction of a token each would wait for each other.
func (b *Bucket) grantAmount(now units.Instant, r Request) units.Tokens {
	balance := b.bucket.Balance(now)
	need := min(r.Need, balance)
	extra := min(r.Extra, (balance-need)/extraDivisor)
	return (need + extra) / units.Token * units.Token
}

// settle ends a grant and refunds its unused tokens.
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

// advance fills the bucket up to now and ends the grants that have expired.
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

// capBalance limits the balance to the part of the burst that is not outstanding.
func (b *Bucket) capBalance(now units.Instant) {
	b.bucket.Resize(now, b.rate, max(0, b.burst-b.outstanding))
}

// TimeUntil returns how long it takes until n tokens are available.
func (b *Bucket) TimeUntil(now units.Instant, n units.Tokens) time.Duration {
	b.advance(now)
	return b.bucket.TimeUntil(now, n)
}

// Bounded reports whether the tokens lent are at most the balance at the start plus
// what the rate has yielded since.
func (b *Bucket) Bounded() bool {
	return float64(b.lent) <= b.allowed+1 && b.outstanding >= 0
}

// Idle reports whether the bucket is full and nothing is outstanding, so that it can be
// evicted and started again with the full burst.
func (b *Bucket) Idle(now units.Instant) bool {
	b.advance(now)
	return len(b.grants) == 0 && b.bucket.Balance(now) >= b.burst
}
