// Package lru is a cache of limited size that evicts the least recently used value.
//
// # Usage
//
//	c := lru.Cache[string, int]{Limit: 100}
//	n := c.Get("a", func() int { return compute() })
package lru

import "container/list"

// Cache holds up to Limit values by their keys. With the zero Limit it holds none, and Get
// always calls compute. It is not safe for concurrent use.
type Cache[K comparable, V any] struct {
	Limit int

	order list.List
	items map[K]*list.Element
}

type item[K comparable, V any] struct {
	key   K
	value V
}

// Get returns the cached value of the key. If there is none, it calls compute and caches
// the result.
func (c *Cache[K, V]) Get(key K, compute func() V) V {
	if e, ok := c.items[key]; ok {
		c.order.MoveToFront(e)
		return e.Value.(item[K, V]).value
	}
	v := compute()
	if c.Limit > 0 {
		c.put(key, v)
	}
	return v
}

// put adds a value and evicts the least recently used one if the limit is exceeded.
func (c *Cache[K, V]) put(key K, v V) {
	if c.items == nil {
		c.items = map[K]*list.Element{}
	}
	c.items[key] = c.order.PushFront(item[K, V]{key: key, value: v})
	if len(c.items) > c.Limit {
		last := c.order.Back()
		delete(c.items, c.order.Remove(last).(item[K, V]).key)
	}
}

// Clear removes all values.
func (c *Cache[K, V]) Clear() {
	c.items = nil
	c.order.Init()
}
