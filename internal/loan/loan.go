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
func (h *Bucket) Start(start units.Instant, balance units.Tokens, rate units.Rate, burst units.Tokens) {
	h.rate, h.burst = rate, burst
	h.bucket = bucket.Bucket{Rate: rate, Burst: burst}
	h.bucket.SetBalance(start, balance)
	h.allowed = float64(min(balance, burst))
	h.allowedAt = start
}

// Resume starts the holding with the balance that an earlier holder let go at an
// instant. Until one lifetime after it, borrowers may still spend what was out.
func (h *Bucket) Resume(start units.Instant, balance, out units.Tokens, rate units.Rate, burst units.Tokens) {
	h.Start(start, balance, rate, burst)
	if out <= 0 {
		return
	}
	h.outstanding = min(out, burst)
	h.grants = []grant{{amount: h.outstanding, expiresAt: start.Add(h.Lifetime)}}
	h.capBalance(start)
}

// Close returns the balance and what is out, for the next holder. The holding
// must not be used any more.
func (h *Bucket) Close(now units.Instant) (balance, out units.Tokens) {
	h.advance(now)
	return h.bucket.Balance(now), h.outstanding
}

// Resize applies changed limits from an instant on.
func (h *Bucket) Resize(now units.Instant, rate units.Rate, burst units.Tokens) {
	if rate == h.rate && burst == h.burst {
		return
	}
	h.advance(now)
	h.rate, h.burst = rate, burst
	h.capBalance(now)
}

// Lend answers a question. The same question again gets the same grant.
func (h *Bucket) Lend(now units.Instant, r Request) units.Tokens {
	h.advance(now)
	for _, s := range r.Settled {
		h.settle(now, r.Borrower, s)
	}
	if r.Number <= h.settled[r.Borrower] || r.Need < 0 || r.Extra < 0 {
		return 0
	}
	for _, g := range h.grants {
		if g.borrower == r.Borrower && g.number == r.Number {
			return g.amount
		}
	}
	amount := h.grantAmount(now, r)
	if amount == 0 || !h.bucket.Consume(now, amount) {
		return 0
	}
	h.outstanding += amount
	h.lent += amount
	h.grants = append(h.grants, grant{borrower: r.Borrower, number: r.Number, amount: amount, expiresAt: now.Add(h.Lifetime)})
	h.capBalance(now)
	return amount
}

// grantAmount decides how much to lend: the need as far as possible, and a part of
// what is left for the extra. Only whole tokens are lent, so that two borrowers
// never wait for each other's fractions.
func (h *Bucket) grantAmount(now units.Instant, r Request) units.Tokens {
	balance := h.bucket.Balance(now)
	need := min(r.Need, balance)
	extra := min(r.Extra, (balance-need)/extraDivisor)
	return (need + extra) / units.Token * units.Token
}

// settle ends a grant and takes back what was not used of it.
func (h *Bucket) settle(now units.Instant, b Borrower, s Settlement) {
	for i, g := range h.grants {
		if g.borrower != b || g.number != s.Number {
			continue
		}
		unused := max(0, min(s.Unused, g.amount))
		h.grants = append(h.grants[:i], h.grants[i+1:]...)
		h.outstanding -= g.amount
		h.lent -= unused
		h.capBalance(now)
		h.bucket.Refund(now, unused)
		break
	}
	if h.settled == nil || len(h.settled) > maxSettled {
		h.settled = map[Borrower]uint64{}
	}
	h.settled[b] = max(h.settled[b], s.Number)
}

// advance fills the bucket up to an instant and ends the grants that expired.
func (h *Bucket) advance(now units.Instant) {
	for len(h.grants) > 0 && !now.Before(h.grants[0].expiresAt) {
		g := h.grants[0]
		h.grants = h.grants[1:]
		h.bucket.Balance(g.expiresAt)
		h.outstanding -= g.amount
		h.capBalance(g.expiresAt)
	}
	h.bucket.Balance(now)
	if h.allowedAt.Before(now) {
		h.allowed += float64(h.rate) * now.Sub(h.allowedAt).Seconds() * float64(units.Token)
		h.allowedAt = now
	}
}

// capBalance leaves room in the bucket for what is out.
func (h *Bucket) capBalance(now units.Instant) {
	h.bucket.Resize(now, h.rate, max(0, h.burst-h.outstanding))
}

// TimeUntil returns how long it takes until n tokens are there.
func (h *Bucket) TimeUntil(now units.Instant, n units.Tokens) time.Duration {
	h.advance(now)
	return h.bucket.TimeUntil(now, n)
}

// Bounded reports whether no more was lent than what the holding began with and
// the rate has yielded since.
func (h *Bucket) Bounded() bool {
	return float64(h.lent) <= h.allowed+1 && h.outstanding >= 0
}

// Idle reports whether the holding is full with nothing out, so that it can be
// dropped and begun again in full.
func (h *Bucket) Idle(now units.Instant) bool {
	h.advance(now)
	return len(h.grants) == 0 && h.bucket.Balance(now) >= h.burst
}
