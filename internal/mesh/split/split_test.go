package split_test

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/split"
)

// Many daemons with few requests each send every service its share in total.
func TestShares(t *testing.T) {
	clusters := []policy.Cluster{{Service: "a", Weight: 70}, {Service: "b", Weight: 25}, {Service: "c", Weight: 5}}
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[ids.Service]int{}
	for range 500 {
		var s split.Split
		for range 4 {
			got[s.Next("r", clusters, rng.Float64)]++
		}
	}
	for _, c := range clusters {
		must.Between(t, float64(c.Weight)/100-0.04, float64(got[c.Service])/2000, float64(c.Weight)/100+0.04)
	}
}

// A single daemon sends every service its share, with little deviation.
func TestEvenSpread(t *testing.T) {
	clusters := []policy.Cluster{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}
	var s split.Split
	got := map[ids.Service]int{}
	for range 400 {
		got[s.Next("r", clusters, func() float64 { return 0.9 })]++
	}
	must.Between(t, 297, got["a"], 303)
}

// Changed weights apply from the next request on.
func TestChangedWeights(t *testing.T) {
	var s split.Split
	both := []policy.Cluster{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	s.Next("r", both, rand.Float64)
	for range 10 {
		must.EqOp(t, "b", s.Next("r", []policy.Cluster{{Service: "a"}, {Service: "b", Weight: 1}}, rand.Float64))
	}
}
