// Package changes remembers which things changed lately, in order.
//
// # Usage
//
//	var c changes.Changes[ids.Daemon]
//	c.Add("vm7")
//	names, next, whole := c.Since(cursor)
//
// A reader keeps a cursor. One that falls too far behind is told that the list is
// not whole.
package changelog

// Changes is a bounded list of changed things. The zero value is empty.
type Log[K comparable] struct {
	first uint64
	items []K
}

// limit is how many changes are remembered.
const maxEntries = 8192

// Add notes that k changed.
func (c *Log[K]) Add(k K) {
	c.items = append(c.items, k)
	if len(c.items) > 2*maxEntries {
		drop := len(c.items) - maxEntries
		c.items = append([]K(nil), c.items[drop:]...)
		c.first += uint64(drop)
	}
}

// Since returns what changed since the cursor, each thing once, and the next
// cursor. It reports false when some changes are forgotten.
func (c *Log[K]) Since(cursor uint64) ([]K, uint64, bool) {
	next := c.first + uint64(len(c.items))
	whole := cursor >= c.first
	start := uint64(0)
	if whole {
		start = min(cursor-c.first, uint64(len(c.items)))
	}
	var distinct []K
	seen := map[K]bool{}
	for _, k := range c.items[start:] {
		if !seen[k] {
			seen[k] = true
			distinct = append(distinct, k)
		}
	}
	return distinct, next, whole
}
