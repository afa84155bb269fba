package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
)

// The size that the system is designed for: 26,000 targets in 690 services on 2,000
// daemons in 13 data centres.
const (
	fleetDaemons  = 2000
	fleetTargets  = 26000
	fleetServices = 690
	fleetCentres  = 13
)

// fleet places the targets of each service on random daemons.
func fleet() map[ids.Service][]directory.Candidate {
	rng := rand.New(rand.NewPCG(1, 1))
	services := map[ids.Service][]directory.Candidate{}
	for i := range fleetTargets {
		d := rng.IntN(fleetDaemons)
		id := ids.Service(fmt.Sprintf("team/s%d", i%fleetServices))
		services[id] = append(services[id], directory.Candidate{
			Daemon: ids.Daemon(fmt.Sprintf("vm%d", d)),
			Centre: ids.Centre(fmt.Sprintf("c%d", d%fleetCentres)),
			Target: member.Target{ID: ids.Target(fmt.Sprintf("t%d", i)), Slots: 3},
		})
	}
	return services
}

// A daemon that sends requests to every service must connect to a part of the fleet
// only, and no target may be in many more subsets than the average one.
func TestSubsetsShareDaemons(t *testing.T) {
	services := fleet()
	const entries = 200
	connected := 0
	subsets := map[ids.Target]int{}
	for e := range entries {
		b := Balancer{Self: ids.Daemon(fmt.Sprintf("vm%d", e)), Centre: ids.Centre(fmt.Sprintf("c%d", e%fleetCentres))}
		peers := map[ids.Daemon]bool{}
		for _, list := range services {
			s := b.split(list)
			for _, i := range append(append([]int(nil), s.local...), s.remote...) {
				peers[list[i].Daemon] = true
				subsets[list[i].ID]++
			}
		}
		connected += len(peers)
	}
	most := 0
	for _, n := range subsets {
		most = max(most, n)
	}
	mean := float64(entries*fleetServices*subsetSize) / fleetTargets
	t.Logf("a daemon connects to %d of %d; a target is in %.0f subsets on average and in %d at most", connected/entries, fleetDaemons, mean, most)
	must.Less(t, fleetDaemons*2/3, connected/entries)
	must.Less(t, 2*mean, float64(most))
}
