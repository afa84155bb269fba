package ring_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ring"
)

func daemons(n int) []ids.Daemon {
	var all []ids.Daemon
	for i := range n {
		all = append(all, ids.Daemon(fmt.Sprintf("vm%d", i)))
	}
	return all
}

func TestPeerCount(t *testing.T) {
	cases := []struct{ daemons, peers int }{{1, 0}, {2, 1}, {3, 2}, {5, 3}, {9, 4}, {2000, 11}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			r := ring.New(daemons(c.daemons))
			for _, d := range daemons(c.daemons) {
				peers := r.Peers(d)
				must.Len(t, c.peers, peers)
				must.SliceNotContains(t, peers, d)
			}
		})
	}
}

// An update that every daemon sends to its peers reaches 2000 daemons within 11
// steps, the logarithm of their number.
func TestReach(t *testing.T) {
	const n, steps = 2000, 11
	r := ring.New(daemons(n))
	reached := map[ids.Daemon]bool{"vm0": true}
	for range steps {
		next := map[ids.Daemon]bool{}
		for d := range reached {
			next[d] = true
			for _, p := range r.Peers(d) {
				next[p] = true
			}
		}
		reached = next
	}
	must.MapLen(t, n, reached)
}

// A daemon that is not on the ring yet has the peers that follow its place.
func TestOutsider(t *testing.T) {
	must.Len(t, 3, ring.New(daemons(5)).Peers("newcomer"))
	must.SliceEmpty(t, ring.New(nil).Peers("newcomer"))
}
