// Package split distributes the requests of a route among services by weight.
//
// # Usage
//
//	service := s.Next(route.ID, route.Clusters, rand.Float64)
//
// Each daemon begins at a random point of the weights and goes on by the golden ratio,
// which spreads the points evenly. So each request has the right chances, also over many
// daemons with few requests each, and each daemon soon has the right shares.
package split

import (
	"math"
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
)

// goldenRatio is the golden ratio's fraction.
const goldenRatio = 0.6180339887498949

// Split remembers the point of each route. The zero value is ready.
type Split struct {
	mu     sync.Mutex
	points map[ids.Route]float64
}

// Next returns the service of the next request.
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
