package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyedstub"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/units"
)

// addDaemon registers another daemon, or reports that it is stopping.
func addDaemon(tb testing.TB, q *Quota, n int, number uint64, stopping bool) ids.Address {
	tb.Helper()
	a := ids.Address(fmt.Sprintf("127.1.%d.%d:9", n/250, n%250+1))
	raw, err := cbor.Marshal(registry.Registration{
		Daemon: ids.Daemon(fmt.Sprint("vm", n)), Address: a, Centre: "quito", Incarnation: 1, Revision: number, Stopping: stopping,
	})
	must.NoError(tb, err)
	q.registry.Merge(raw)
	return a
}

// While daemons are added, stop and are lost, the leader is the available daemon of highest
// weight.
func TestHolderIsHighest(t *testing.T) {
	q := open(t)
	r := rand.New(rand.NewPCG(1, 1))
	present := map[ids.Address]bool{q.registry.Own().Address: true}
	for step := range 200 {
		a := addDaemon(t, q, r.IntN(40), uint64(step+1), step%3 == 0)
		present[a] = step%3 != 0
		if step%20 == 19 {
			q.reachable.RecordFailure(a, keyedstub.ErrUnavailable)
			q.mu.Lock()
			q.unresponsiveSince[a] = q.Common.Clock.Now() - units.Instant(2*failoverAfter)
			q.mu.Unlock()
		}
		for i := range 20 {
			id := ids.Account(fmt.Sprint("school-", i))
			must.EqOp(t, highest(q, id, present), q.leader(id))
		}
	}
}

// highest determines the leader by examining all daemons.
func highest(q *Quota, id ids.Account, present map[ids.Address]bool) ids.Address {
	var best ids.Address
	var weight uint64
	now := q.Common.Clock.Now()
	for a, ok := range present {
		if w := rendezvous.HashKey(string(id)).Weight(ids.Daemon(a)); ok && !q.isLost(a, now) && w >= weight {
			best, weight = a, w
		}
	}
	return best
}

// BenchmarkLend measures one request of an account that this daemon leads, in the largest fleet
// that the users plan for.
func BenchmarkLend(b *testing.B) {
	q := open(b)
	for n := range 2000 {
		addDaemon(b, q, n, 1, false)
	}
	a := policy.Account{ID: "school", Rate: 1e6, Burst: 1e6 * units.Token}
	for b.Loop() {
		q.leader(a.ID)
		q.lendTokens(a, 1, q.Common.Clock.Now())
	}
}
