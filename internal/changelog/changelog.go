// Package changelog records which keys changed recently, in order.
//
// # Usage
//
//	var l changelog.Log[ids.Daemon]
//	l.Add("vm7")
//	keys, next, complete := l.Since(cursor)
//
// A reader stores a cursor. When it falls too far behind, the result is marked as
// incomplete.
package changelog

// Log is a bounded list of changed keys. The zero value is empty.
type Log[K comparable] struct {
	first uint64
	items []K
}

// maxEntries is how many changes are retained; the list grows to twice as many
// before the older half is dropped.
const maxEntries = 8192

// Add records that k changed.
func (c *Log[K]) Add(k K) {
	c.items = append(c.items, k)
	if len(c.items) > 2*maxEntries {
		drop := len(c.items) - maxEntries
		c.items = append([]K(nil), c.items[drop:]...)
		c.first += uint64(drop)
	}
}

// Since returns the keys that changed since the cursor, each of them once, and the
// next cursor. It reports false when some changes are no longer retained.
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
