// Package loan is one holder's share of a client account's tokens.
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

// extraPart bounds tokens lent ahead of demand to a part of the balance.
const extraPart = 8

// maxClosed bounds the memory of settled numbers. Without it, a question that
// comes late gets a grant that nobody spends.
const maxClosed = 4096

// Bucket is a token bucket with the grants that are still out.
type Bucket struct {
	// Lifetime is how long after its loan a grant counts as spendable.
	Lifetime time.Duration

	bucket bucket.Bucket
	rate   units.Rate
	burst  units.Tokens
	// grants are in order of their end.
	grants []grant
	// out is the sum of the grants.
	out units.Tokens
	// closed is each borrower's highest settled number.
	closed map[Borrower]uint64
	// lent counts tokens lent and not returned; due is the most that it may be.
	lent   units.Tokens
	due    float64
	marked units.Instant
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
	Settled []Settled
}

// Settled tells that the borrower will spend nothing more of a grant.
type Settled struct {
	Number uint64
	Unused units.Tokens
}

type grant struct {
	to     Borrower
	number uint64
	amount units.Tokens
	ends   units.Instant
}

// Begin starts the holding at an instant, which may lie ahead: until then it
// does not fill.
func (h *Bucket) Begin(start units.Instant, balance units.Tokens, rate units.Rate, burst units.Tokens) {
	h.rate, h.burst = rate, burst
	h.bucket = bucket.Bucket{Rate: rate, Burst: burst}
	h.bucket.SetBalance(start, balance)
	h.due = float64(min(balance, burst))
	h.marked = start
}

// Inherit starts the holding with the balance that an earlier holder let go at an
// instant. Until one lifetime after it, borrowers may still spend what was out.
func (h *Bucket) Inherit(start units.Instant, balance, out units.Tokens, rate units.Rate, burst units.Tokens) {
	h.Begin(start, balance, rate, burst)
	if out <= 0 {
		return
	}
	h.out = min(out, burst)
	h.grants = []grant{{amount: h.out, ends: start.Add(h.Lifetime)}}
	h.cap(start)
}

// Leave returns the balance and what is out, for the next holder. The holding
// must not be used any more.
func (h *Bucket) Leave(now units.Instant) (balance, out units.Tokens) {
	h.advance(now)
	return h.bucket.Balance(now), h.out
}

// Resize applies changed limits from an instant on.
func (h *Bucket) Resize(now units.Instant, rate units.Rate, burst units.Tokens) {
	if rate == h.rate && burst == h.burst {
		return
	}
	h.advance(now)
	h.rate, h.burst = rate, burst
	h.cap(now)
}

// Lend answers a question. The same question again gets the same grant.
func (h *Bucket) Lend(now units.Instant, q Request) units.Tokens {
	h.advance(now)
	for _, s := range q.Settled {
		h.settle(now, q.Borrower, s)
	}
	if q.Number <= h.closed[q.Borrower] || q.Need < 0 || q.Extra < 0 {
		return 0
	}
	for _, g := range h.grants {
		if g.to == q.Borrower && g.number == q.Number {
			return g.amount
		}
	}
	amount := h.amount(now, q)
	if amount == 0 || !h.bucket.Consume(now, amount) {
		return 0
	}
	h.out += amount
	h.lent += amount
	h.grants = append(h.grants, grant{to: q.Borrower, number: q.Number, amount: amount, ends: now.Add(h.Lifetime)})
	h.cap(now)
	return amount
}

// amount decides how much to lend: the need as far as possible, and a part of
// what is left for the extra. Only whole tokens are lent, so that two borrowers
// never wait for each other's fractions.
func (h *Bucket) amount(now units.Instant, q Request) units.Tokens {
	balance := h.bucket.Balance(now)
	need := min(q.Need, balance)
	extra := min(q.Extra, (balance-need)/extraPart)
	return (need + extra) / units.Token * units.Token
}

// settle ends a grant and takes back what was not used of it.
func (h *Bucket) settle(now units.Instant, b Borrower, s Settled) {
	for i, g := range h.grants {
		if g.to != b || g.number != s.Number {
			continue
		}
		unused := max(0, min(s.Unused, g.amount))
		h.grants = append(h.grants[:i], h.grants[i+1:]...)
		h.out -= g.amount
		h.lent -= unused
		h.cap(now)
		h.bucket.Refund(now, unused)
		break
	}
	if h.closed == nil || len(h.closed) > maxClosed {
		h.closed = map[Borrower]uint64{}
	}
	h.closed[b] = max(h.closed[b], s.Number)
}

// advance fills the bucket up to an instant and ends the grants that expired.
func (h *Bucket) advance(now units.Instant) {
	for len(h.grants) > 0 && !now.Before(h.grants[0].ends) {
		g := h.grants[0]
		h.grants = h.grants[1:]
		h.bucket.Balance(g.ends)
		h.out -= g.amount
		h.cap(g.ends)
	}
	h.bucket.Balance(now)
	if h.marked.Before(now) {
		h.due += float64(h.rate) * now.Sub(h.marked).Seconds() * float64(units.Token)
		h.marked = now
	}
}

// cap leaves room in the bucket for what is out.
func (h *Bucket) cap(now units.Instant) {
	h.bucket.Resize(now, h.rate, max(0, h.burst-h.out))
}

// Wait returns how long it takes until n tokens are there.
func (h *Bucket) Wait(now units.Instant, n units.Tokens) time.Duration {
	h.advance(now)
	return h.bucket.TimeUntil(now, n)
}

// Bounded reports whether no more was lent than what the holding began with and
// the rate has yielded since.
func (h *Bucket) Bounded() bool {
	return float64(h.lent) <= h.due+1 && h.out >= 0
}

// Idle reports whether the holding is full with nothing out, so that it can be
// dropped and begun again in full.
func (h *Bucket) Idle(now units.Instant) bool {
	h.advance(now)
	return len(h.grants) == 0 && h.bucket.Balance(now) >= h.burst
}
