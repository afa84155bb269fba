package limit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// slowAccount is an account whose burst takes long to fill, so that a share that starts
// empty or twice shows.
var slowAccount = settings.Account{Rate: 0.1, Burst: 20}

// leaders returns the places of the daemons that hold a share.
func (w *cluster) leaders() []int {
	var list []int
	for i := range w.daemons {
		if w.lend(i, 1, 0).Holds {
			list = append(list, i)
		}
	}
	return list
}

// drain takes all tokens of daemon i's share.
func (w *cluster) drain(i int, number uint64) units.Tokens { return w.lend(i, number, 1000).Amount }

// without returns the places of all daemons but one.
func (w *cluster) without(gone int) []int {
	var list []int
	for i := range w.daemons {
		if i != gone {
			list = append(list, i)
		}
	}
	return list
}

// The balance of a holder that a roster leaves out goes to the new holder, once,
// even when the message comes again.
func TestBalanceIsHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		old := w.leaders()
		must.EqOp(t, 7*units.Token, w.lend(old[0], 2, 7).Amount)
		w.publish(w.without(old[0])...)
		time.Sleep(2*period + 2*time.Second)
		var heir int
		for _, i := range w.leaders() {
			if i != old[1] {
				heir = i
			}
		}
		must.SliceLen(t, 1, w.daemons[heir].handovers)
		must.EqOp(t, 3*units.Token, w.drain(heir, 3))
		w.daemons[heir].lend.AcceptHandover(w.daemons[heir].handovers[0])
		must.Zero(t, w.drain(heir, 4))
		w.missLog(heir, w.without(old[0]))
		must.Zero(t, w.drain(heir, 5))
		must.EqOp(t, 10*units.Token, w.drain(old[1], 2))
	})
}

// missLog makes a daemon miss the log for so long that it drops its shares.
func (w *cluster) missLog(i int, roster []int) {
	w.cutOffLog(i)
	time.Sleep(2 * period)
	w.publish(roster...)
	time.Sleep(2 * period)
	d := w.daemons[i]
	d.mu.Lock()
	d.cutOff = false
	d.mu.Unlock()
	time.Sleep(2 * time.Second)
}

// A daemon that stops hands over what it holds; its next run gets it back.
func TestRestartKeepsTheBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		i := w.leaders()[0]
		must.EqOp(t, 7*units.Token, w.lend(i, 2, 7).Amount)
		w.restart(i, 2)
		time.Sleep(time.Second)
		w.publish()
		time.Sleep(2*period + 2*time.Second)
		must.EqOp(t, 3*units.Token, w.drain(i, 3))
		must.Zero(t, w.drain(i, 4))
	})
}

// The daemon that keeps the share of an ended run lends of it, once, and gives the
// rest to the next run; borrowers find it.
func TestEndedRunsShareIsLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		i := w.leaders()[0]
		w.restart(i, 2)
		keeper := -1
		for n, d := range w.daemons {
			if len(d.handovers) > 0 {
				keeper = n
			}
		}
		must.EqOp(t, 4*units.Token, w.lend(keeper, 2, 4).Amount)
		again := w.daemons[keeper].handovers[0]
		w.daemons[keeper].lend.AcceptHandover(again)
		w.publish()
		time.Sleep(2*period + 2*time.Second)
		must.False(t, w.lend(keeper, 3, 1).Holds)
		must.EqOp(t, 6*units.Token, w.drain(i, 2))
		again.To.Daemon, again.To.Incarnation = w.daemons[i].Self()
		w.daemons[i].lend.AcceptHandover(again)
		must.Zero(t, w.drain(i, 3))
	})
}

// A repeated message gives nothing to a keeper that has lost what it kept.
func TestEndedRunsShareIsKeptOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		gone := w.daemons[w.leaders()[0]]
		must.NoError(t, gone.kern.Stop(time.Second))
		w.mu.Lock()
		gone.stopped = true
		w.mu.Unlock()
		for n, d := range w.daemons {
			if len(d.handovers) == 0 {
				continue
			}
			must.EqOp(t, 10*units.Token, w.drain(n, 2))
			w.missLog(n, w.without(-1))
			d.lend.AcceptHandover(d.handovers[0])
			must.Zero(t, w.drain(n, 3))
			return
		}
		t.Fatal("nobody keeps the share")
	})
}

// All of the burst can be used while a holder is away that stopped in good order.
func TestBurstWhileHolderIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		i := w.leaders()[0]
		w.restart(i, 2)
		for n := range slowAccount.Burst {
			must.NoError(t, w.send(w.without(i)[0], time.Second), must.Sprint(n, " of the burst"))
		}
		must.Error(t, w.send(w.without(i)[0], time.Second))
		w.check()
	})
}

// A roster that leaves an account's holders in their places has no effect on it.
func TestOtherRostersHaveNoEffect(t *testing.T) {
	for _, edits := range []bool{false, true} {
		var answers [2][]message.Lent
		for run := range answers {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6, settings.Account{Rate: 3, Burst: 20})
				time.Sleep(fillTime)
				holders := w.leaders()
				for step := range 200 {
					if run == 1 && step%20 == 10 {
						w.moveOther(holders, step/20, edits)
					}
					for _, i := range holders {
						answers[run] = append(answers[run], w.lend(i, uint64(step+2), units.Tokens(step%4)))
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		must.Eq(t, answers[0], answers[1])
	}
}

// moveOther publishes a roster without some daemon that holds nothing, or an edit
// that leaves the limits as they are.
func (w *cluster) moveOther(holders []int, n int, edits bool) {
	if edits {
		values := valuesOf(w.limits)
		values["weight"] = "2"
		w.edit(schoolPath, values)
		return
	}
	for i := range w.daemons {
		if contains(holders, i) {
			continue
		}
		if n--; n%4 == 0 {
			w.publish(w.without(i)...)
			return
		}
	}
	w.publish()
}

// An account can use its whole burst as soon as its section was read, and all of
// a larger one after an edit.
func TestNewAccountIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(fillTime)
		at := w.now().Version(schoolPath)
		must.Positive(t, at)
		w.edit(schoolPath, nil)
		w.edit("teams/andrade/accounts/fresh", valuesOf(slowAccount))
		time.Sleep(period / 2)
		must.EqOp(t, 20*units.Token, w.drainAll("andrade/fresh", 2))
		must.Zero(t, w.drainAll("andrade/fresh", 3))
		for i := range w.daemons {
			w.missLog(i, w.without(-1))
		}
		must.LessEq(t, 6*units.Token, w.drainAll("andrade/fresh", 4))
	})
}

// An account that is removed and made again starts empty, because daemons that
// have not read it may still admit requests of the earlier one.
func TestAccountMadeAgainStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		must.EqOp(t, 20*units.Token, w.drainAll(school, 2))
		w.edit(schoolPath, nil)
		w.edit(schoolPath, valuesOf(slowAccount))
		time.Sleep(period / 2)
		must.Zero(t, w.drainAll(school, 3))
		time.Sleep(2 * period)
		must.Zero(t, w.drainAll(school, 4))
	})
}

// The same holds when another daemon holds the share by then.
func TestAccountMadeAgainElsewhereStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		gone := w.leaders()[0]
		must.EqOp(t, 20*units.Token, w.drainAll(school, 2))
		w.publish(w.without(gone)...)
		w.edit(schoolPath, nil)
		w.edit(schoolPath, valuesOf(slowAccount))
		time.Sleep(2*period + 2*time.Second)
		must.Zero(t, w.drainAll(school, 3))
	})
}

// An edit of the rate costs an idle account nothing.
func TestEditedAccountStaysFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, settings.Account{Rate: 10, Burst: 20})
		time.Sleep(2 * fillTime)
		w.edit(schoolPath, valuesOf(settings.Account{Rate: 5, Burst: 30}))
		time.Sleep(period / 2)
		must.EqOp(t, 30*units.Token, w.drainAll(school, 2))
	})
}
