// Package size remembers how many bytes the requests of a route and their answers
// usually have, because bytes between data centres are dear.
//
// # Usage
//
//	s.Note(route, bytes)
//	n := s.Usual(route)
package size

import (
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// newestWeight is the newestWeight of the newest size in the usual one.
	newestWeight = 0.1
	// Overhead is what the messages between daemons add to a request.
	Overhead units.Bytes = 500
)

// Estimator remembers usual sizes. The zero value knows none.
type Estimator struct {
	mu       sync.Mutex
	averages map[ids.Route]float64
}

// Observe takes the size of one request with its answer.
func (e *Estimator) Observe(id ids.Route, n units.Bytes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.averages == nil {
		e.averages = map[ids.Route]float64{}
	}
	old, ok := e.averages[id]
	if !ok {
		e.averages[id] = float64(n)
		return
	}
	e.averages[id] = old + newestWeight*(float64(n)-old)
}

// Estimate returns the usual size, with the overhead between daemons.
func (e *Estimator) Estimate(id ids.Route) units.Bytes {
	e.mu.Lock()
	defer e.mu.Unlock()
	return units.Bytes(e.averages[id]) + Overhead
}
