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
func (l *Log[K]) Add(k K) {
	l.items = append(l.items, k)
	if len(l.items) > 2*maxEntries {
		drop := len(l.items) - maxEntries
		l.items = append([]K(nil), l.items[drop:]...)
		l.first += uint64(drop)
	}
}

// Since returns the keys that changed since the cursor, each of them once, and the
// next cursor. It reports false when some changes are no longer retained.
func (l *Log[K]) Since(cursor uint64) ([]K, uint64, bool) {
	next := l.first + uint64(len(l.items))
	complete := cursor >= l.first
	start := uint64(0)
	if complete {
		start = min(cursor-l.first, uint64(len(l.items)))
	}
	var keys []K
	seen := map[K]bool{}
	for _, k := range l.items[start:] {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	return keys, next, complete
}
