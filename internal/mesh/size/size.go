// Package size estimates how many bytes a request of a route and its answer have, because
// traffic between data centres is expensive.
//
// # Usage
//
//	e.Observe(route, bytes)
//	n := e.Estimate(route)
package size

import (
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// newestWeight is the weight of the newest size in the moving average.
	newestWeight = 0.1
	// Overhead is what the messages between daemons add to a request, in bytes.
	Overhead units.Bytes = 500
)

// Estimator holds an exponential moving average of sizes for each route. The zero value works.
type Estimator struct {
	mu       sync.Mutex
	averages map[ids.Route]float64
}

// Observe adds the size of one request with its answer.
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

// Estimate returns the average size of the route's requests with their answers, plus Overhead.
func (e *Estimator) Estimate(id ids.Route) units.Bytes {
	e.mu.Lock()
	defer e.mu.Unlock()
	return units.Bytes(e.averages[id]) + Overhead
}
