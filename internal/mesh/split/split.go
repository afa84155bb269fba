// Package split distributes the requests of a route among services by weight.
//
// # Usage
//
//	service := s.Next(route.ID, route.Clusters, rand.Float64)
//
// Each daemon starts at a random point of the range of all weights and advances by the
// golden ratio, which spreads the points evenly (a low-discrepancy sequence). So every
// single request has the right probabilities, also with many daemons that get few requests
// each, and each daemon approaches the weights after few requests.
package split

import (
	"math"
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
)

// goldenRatio is the fractional part of the golden ratio.
const goldenRatio = 0.6180339887498949

// Split holds the current point of each route. The zero value is ready to use. Next may be
// called from several goroutines.
type Split struct {
	mu     sync.Mutex
	points map[ids.Route]float64
}

// Next returns the service for the next request of a route, which has at least one cluster.
// random returns numbers from 0 to 1; it is called for the first request of a route.
func (s *Split) Next(id ids.Route, clusters []policy.Cluster, random func() float64) ids.Service {
	if len(clusters) == 1 {
		return clusters[0].Service
	}
	total := 0.0
	for _, c := range clusters {
		total += float64(c.Weight)
	}
	at := s.nextPoint(id, random) * total
	for _, c := range clusters {
		if at < float64(c.Weight) {
			return c.Service
		}
		at -= float64(c.Weight)
	}
	return clusters[len(clusters)-1].Service
}

// nextPoint advances the route's point and returns it, from 0 to 1.
func (s *Split) nextPoint(id ids.Route, random func() float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.points == nil {
		s.points = map[ids.Route]float64{}
	}
	old, ok := s.points[id]
	if !ok {
		old = random()
	}
	_, s.points[id] = math.Modf(old + goldenRatio)
	return s.points[id]
}
