// Package batches caches the tokens of one client account that a daemon has borrowed
// from the quota leaders.
//
// # Usage
//
//	c.Add(batches.Batch{Leader: "vm3", Number: 4, Left: 5 * units.Token, ExpiresAt: sentAt.Add(lifetime)})
//	expiresAt, ok := c.Consume(now, units.Token)
package batches

import (
	"math"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Cache holds batches in the order in which they were borrowed. It doesn't lock; its
// owner does.
type Cache struct{ batches []Batch }

// Batch is a grant of one quota leader.
type Batch struct {
	Leader ids.Daemon
	Number uint64
	Left   units.Tokens
	// ExpiresAt is counted from when the request was sent, so that the batch expires
	// at the borrower before it does at the quota leader.
	ExpiresAt units.Instant
}

// Add appends a batch.
func (c *Cache) Add(b Batch) { c.batches = append(c.batches, b) }

// Consume takes n tokens out of batches that have not expired, and returns the earliest
// expiry of the batches that it used. It returns false and takes nothing when there are
// fewer tokens.
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

// Balance returns the tokens that have not expired.
func (c *Cache) Balance(now units.Instant) units.Tokens {
	var sum units.Tokens
	for _, b := range c.batches {
		if now.Before(b.ExpiresAt) {
			sum += b.Left
		}
	}
	return sum
}

// Settle removes the batches of a quota leader that are used up or expire before an
// instant, and returns them. The caller returns what is left in them to the leader.
func (c *Cache) Settle(leader ids.Daemon, before units.Instant) []Batch {
	var settled, rest []Batch
	for _, b := range c.batches {
		if b.Leader == leader && (b.Left == 0 || b.ExpiresAt.Before(before)) {
			settled = append(settled, b)
		} else {
			rest = append(rest, b)
		}
	}
	c.batches = rest
	return settled
}

// Expire evicts the batches that have expired.
func (c *Cache) Expire(now units.Instant) {
	var rest []Batch
	for _, b := range c.batches {
		if now.Before(b.ExpiresAt) {
			rest = append(rest, b)
		}
	}
	c.batches = rest
}

// Leaders returns the quota leaders that the batches come from.
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
