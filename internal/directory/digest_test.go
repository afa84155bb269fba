package directory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/units"
)

// described returns the members that have described themselves.
func described(d *directory.Directory) []member.Member {
	var list []member.Member
	for _, m := range d.Members() {
		if m.Incarnation != 0 {
			list = append(list, m)
		}
	}
	return list
}

func daemonNames(members []member.Member) []ids.Daemon {
	var list []ids.Daemon
	for _, m := range members {
		list = append(list, m.Daemon)
	}
	return list
}

// The digest that is updated with each change equals one made from scratch, and
// each change of which daemons are reachable is counted, for random changes.
func TestCountsFollowMembers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var d directory.Directory
	reachable, moves := daemonNames(d.Reachable()), d.ReachabilityChanges()
	for step := range 3000 {
		m := member.Member{
			Daemon:      ids.Daemon(fmt.Sprintf("vm%d", rng.IntN(20))),
			Incarnation: ids.Incarnation(rng.IntN(1 + step/200)),
			Version:     uint64(rng.IntN(1 + step/50)),
			Centre:      ids.Centre(fmt.Sprintf("c%d", rng.IntN(3))),
			Gone:        rng.IntN(10) == 0,
		}
		d.Put(m)
		if rng.IntN(20) == 0 {
			d.MarkUnreachable(m.Daemon)
		}
		if rng.IntN(50) == 0 {
			d.EvictExpired(units.Instant(1) << 62)
		}
		must.Eq(t, digest.Of(described(&d)), d.Digest())
		now := daemonNames(d.Reachable())
		must.True(t, slices.Equal(reachable, now) || d.ReachabilityChanges() > moves)
		reachable, moves = now, d.ReachabilityChanges()
	}
}
