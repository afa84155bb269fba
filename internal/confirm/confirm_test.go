package confirm_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/readlease"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterchain"
)

const (
	step = 50 * time.Millisecond
	// rosterDelay is long enough for rosters to be proposed and come in force.
	rosterDelay = 20 * time.Second
)

// check asserts across all daemons what no daemon can check alone: no confirmed
// daemon lacks a record in force, and at most one daemon holds a key.
func (n *network) check(t *testing.T) {
	t.Helper()
	var inForce ids.Offset
	for _, x := range n.all() {
		inForce = max(inForce, x.force.Newest())
	}
	holders := 0
	for _, x := range n.all() {
		if !x.confirm.Confirmed() {
			continue
		}
		must.GreaterEq(t, inForce, x.position(), must.Sprintf("%s is confirmed without a record in force", x.id))
		id, inc := x.confirm.Self()
		if x.confirm.Roster().ChosenByAll(id, inc, holder) {
			holders++
		}
	}
	must.LessEq(t, 1, holders, must.Sprint("several confirmed daemons hold the same key"))
}

func holder(r roster.Roster) ids.Daemon {
	return rendezvous.Top("thing", r.Daemons(), 1)[0]
}

// run lets time pass and checks at every step.
func (n *network) run(t *testing.T, d time.Duration) {
	t.Helper()
	for range d / step {
		time.Sleep(step)
		synctest.Wait()
		n.check(t)
	}
}

// publish appends an edit and returns its offset.
func (n *network) publish(t *testing.T, id string) ids.Offset {
	t.Helper()
	at, err := n.append(t, id)
	must.NoError(t, err)
	return at
}

func (n *network) append(t *testing.T, id string) (ids.Offset, error) {
	data, err := record.Encode(record.Edit{ID: ids.Edit(id)})
	must.NoError(t, err)
	return n.log.Append(t.Context(), platformlog.Settings, data)
}

func (n *network) confirmed() (count int) {
	for _, x := range n.all() {
		if x.confirm.Confirmed() {
			count++
		}
	}
	return count
}

// runFleet runs a test in virtual time on daemons in three data centres. It uses
// one processor: the race detector keeps one context for all timers of a bubble and
// crashes when two processors run such timers at once.
func runFleet(t *testing.T, count int, test func(t *testing.T, n *network)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for i := range count {
			n.start(t, i, count)
		}
		defer func() {
			for _, x := range n.all() {
				n.stop(x.id)
			}
		}()
		n.run(t, rosterDelay)
		must.EqOp(t, count, n.confirmed())
		for _, x := range n.all() {
			must.Len(t, count, x.confirm.Roster().Entries)
		}
		test(t, n)
	})
}

func TestPublishedThenInForce(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, n *network) {
		at := n.publish(t, "e")
		n.run(t, rosterchain.SettleTime-100*time.Millisecond)
		for _, x := range n.all() {
			must.False(t, x.force.InForce(at))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second-rosterchain.SettleTime)
		defer cancel()
		for _, x := range n.all() {
			must.NoError(t, x.force.Wait(ctx, at))
		}
	})
}

func TestLogAway(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, n *network) {
		n.log.SetAway(true)
		for range 10 {
			n.run(t, 5*time.Second)
			must.EqOp(t, 6, n.confirmed())
			time.Sleep(3 * time.Minute)
		}
	})
}

// A daemon that receives nothing from the log or other daemons is no longer
// confirmed after the lease's duration.
func TestOneWayLoss(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, n *network) {
		lone := n.nodes[name(4)]
		n.set(func() {
			n.logCut[lone.id] = true
			for i := range 4 {
				n.cut[[2]ids.Daemon{name(i), lone.id}] = true
			}
		})
		at := n.publish(t, "withdraw")
		n.run(t, readlease.Duration)
		must.False(t, lone.confirm.Confirmed())
		n.run(t, 2*time.Second)
		must.True(t, n.nodes[name(0)].force.InForce(at))
		must.EqOp(t, 4, n.confirmed())
	})
}

// Peers confirm a daemon that can't reach the log itself, but only at the offset
// that it has read: it is no longer confirmed once there is a newer record.
func TestPeersConfirm(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, n *network) {
		lone := n.nodes[name(4)]
		n.set(func() { n.logCut[lone.id] = true })
		n.run(t, 10*time.Second)
		must.True(t, lone.confirm.Confirmed())
		n.publish(t, "withdraw")
		n.run(t, 5*time.Second)
		must.False(t, lone.confirm.Confirmed())
	})
}

// A restarted witness does not vote for its previous incarnation.
func TestRestartedWitnesses(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, n *network) {
		n.log.SetAway(true)
		n.run(t, 5*time.Second)
		must.EqOp(t, 3, n.confirmed())
		for i := 1; i < 3; i++ {
			n.stop(name(i))
			n.start(t, i, 3)
		}
		n.run(t, 10*time.Second)
		must.EqOp(t, 0, n.confirmed())
		n.log.SetAway(false)
		n.run(t, rosterDelay)
		must.EqOp(t, 3, n.confirmed())
		must.Len(t, 3, n.nodes[name(0)].confirm.Roster().Witnesses())
	})
}

// The assertions of check hold at every step under random faults, and the fleet
// recovers.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runFleet(t, 6, func(t *testing.T, n *network) {
				rng := rand.New(rand.NewPCG(seed, 1))
				for i := range 60 {
					n.fault(t, rng, i)
					n.run(t, time.Duration(rng.IntN(3000))*time.Millisecond)
				}
				n.heal()
				n.run(t, 2*rosterDelay)
				must.EqOp(t, 6, n.confirmed())
				at := n.publish(t, "last")
				n.run(t, 5*time.Second)
				for _, x := range n.all() {
					must.True(t, x.force.InForce(at))
				}
			})
		})
	}
}

func (n *network) fault(t *testing.T, rng *rand.Rand, i int) {
	a, b := rng.IntN(6), rng.IntN(6)
	switch rng.IntN(9) {
	case 0, 1:
		// The append may fail while the log is unavailable, and may take effect
		// although it fails.
		_, _ = n.append(t, fmt.Sprint("e", i))
	case 2:
		n.set(func() { n.cut[[2]ids.Daemon{name(a), name(b)}] = a != b })
	case 3:
		n.set(func() { n.logCut[name(a)] = rng.IntN(2) == 0 })
	case 4:
		n.set(func() { n.delay[name(a)] = time.Duration(rng.IntN(900)) * time.Millisecond })
	case 5:
		n.log.SetAway(rng.IntN(2) == 0)
	case 6:
		n.stop(name(a))
		n.start(t, a, 6)
	case 7:
		n.heal()
	case 8:
		n.log.LoseReplies(1)
	}
}

func (n *network) heal() {
	n.set(func() {
		clear(n.cut)
		clear(n.logCut)
		clear(n.delay)
	})
	n.log.SetAway(false)
	n.log.LoseReplies(0)
}

// A lease counts from when the query was sent, however long the answer takes.
func TestSlowAnswers(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, n *network) {
		const oneWay = 250 * time.Millisecond
		n.log.SetAway(true)
		n.set(func() { n.delay[name(2)] = oneWay })
		time.Sleep(5 * time.Second)
		for range 100 {
			time.Sleep(step)
			answer := n.nodes[name(2)].confirm.HandleLeaseQuery()
			must.True(t, !answer.Confirmed || answer.LeaseAge >= 2*oneWay)
		}
	})
}

// A witness that leaves gives up its vote before it stops.
func TestLeavingWitnesses(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, n *network) {
		n.log.SetAway(true)
		for i := 1; i < 3; i++ {
			n.nodes[name(i)].gossip.Update(func(m *member.Member) { m.Leaving = true })
		}
		n.run(t, 3*time.Second)
		must.EqOp(t, 0, n.confirmed())
	})
}

// A daemon that crashes is removed from the roster after a delay, and another one
// becomes witness in its place.
func TestLostDaemonLeavesRoster(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, n *network) {
		lost := n.nodes[name(0)].confirm.Roster().Witnesses()[0]
		n.crash(lost)
		n.run(t, 30*time.Second)
		for _, x := range n.all() {
			must.Len(t, 5, x.confirm.Roster().Entries)
		}
		n.run(t, 2*time.Minute)
		for _, x := range n.all() {
			r := x.confirm.Roster()
			must.Len(t, 4, r.Entries)
			must.Len(t, 3, r.Witnesses())
		}
	})
}
