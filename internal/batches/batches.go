// Package batches is a borrower's stock of tokens of one client account.
//
// # Usage
//
//	p.Add(batches.Batch{Holder: "vm3", Number: 4, Left: 5 * units.Token, Ends: asked.Add(lifetime)})
//	ends, ok := p.Spend(now, units.Token)
package batches

import (
	"math"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Cache holds batches in the order in which they were borrowed.
type Cache struct{ batches []Batch }

// Batch is a grant of one holder.
type Batch struct {
	Leader ids.Daemon
	Number uint64
	Left   units.Tokens
	// ExpiresAt is counted from when the question was sent, so that the borrower
	// forgets the batch before its holder does.
	ExpiresAt units.Instant
}

// Add puts a batch in.
func (c *Cache) Add(b Batch) { c.batches = append(c.batches, b) }

// Consume takes n tokens out of batches that have not ended. It returns the
// earliest end among the batches that it used.
func (c *Cache) Consume(now units.Instant, n units.Tokens) (units.Instant, bool) {
	if c.Balance(now) < n {
		return 0, false
	}
	earliest := units.Instant(math.MaxInt64)
	for i := range c.batches {
		b := &c.batches[i]
		if !now.Before(b.ExpiresAt) || b.Left == 0 || n == 0 {
			continue
		}
		part := min(n, b.Left)
		b.Left -= part
		n -= part
		earliest = min(earliest, b.ExpiresAt)
	}
	return earliest, true
}

// Balance returns the tokens that can be spent.
func (c *Cache) Balance(now units.Instant) units.Tokens {
	var sum units.Tokens
	for _, b := range c.batches {
		if now.Before(b.ExpiresAt) {
			sum += b.Left
		}
	}
	return sum
}

// Settle removes the batches of a holder that are used up or end before an
// instant, and returns them; what is left in them goes back to the holder.
func (c *Cache) Settle(holder ids.Daemon, before units.Instant) []Batch {
	var settled, rest []Batch
	for _, b := range c.batches {
		if b.Leader == holder && (b.Left == 0 || b.ExpiresAt.Before(before)) {
			settled = append(settled, b)
		} else {
			rest = append(rest, b)
		}
	}
	c.batches = rest
	return settled
}

// Expire forgets batches that have ended.
func (c *Cache) Expire(now units.Instant) {
	var rest []Batch
	for _, b := range c.batches {
		if now.Before(b.ExpiresAt) {
			rest = append(rest, b)
		}
	}
	c.batches = rest
}

// Leaders returns the daemons that the batches come from.
func (c *Cache) Leaders() []ids.Daemon {
	var all []ids.Daemon
	seen := map[ids.Daemon]bool{}
	for _, b := range c.batches {
		if !seen[b.Leader] {
			seen[b.Leader] = true
			all = append(all, b.Leader)
		}
	}
	return all
}
