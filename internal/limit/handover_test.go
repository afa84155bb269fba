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

// slowAccount is an account whose burst takes long to fill, which shows a share that
// starts empty or exists twice.
var slowAccount = settings.Account{Rate: 0.1, Burst: 20}

// leaders returns the indices of the daemons that have a share.
func (c *cluster) leaders() []int {
	var list []int
	for i := range c.daemons {
		if c.lend(i, 1, 0).IsLeader {
			list = append(list, i)
		}
	}
	return list
}

// drain borrows all tokens of daemon i's share.
func (c *cluster) drain(i int, number uint64) units.Tokens { return c.lend(i, number, 1000).Amount }

// without returns the indices of all daemons but one.
func (c *cluster) without(ended int) []int {
	var list []int
	for i := range c.daemons {
		if i != ended {
			list = append(list, i)
		}
	}
	return list
}

// When a roster leaves a quota leader out, its balance goes to the new leader exactly
// once, also when the handover message is duplicated.
func TestBalanceIsHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		old := c.leaders()
		must.EqOp(t, 7*units.Token, c.lend(old[0], 2, 7).Amount)
		c.publish(c.without(old[0])...)
		time.Sleep(2*period + 2*time.Second)
		var successor int
		for _, i := range c.leaders() {
			if i != old[1] {
				successor = i
			}
		}
		must.SliceLen(t, 1, c.daemons[successor].handovers)
		must.EqOp(t, 3*units.Token, c.drain(successor, 3))
		c.daemons[successor].lend.AcceptHandover(c.daemons[successor].handovers[0])
		must.Zero(t, c.drain(successor, 4))
		c.missLog(successor, c.without(old[0]))
		must.Zero(t, c.drain(successor, 5))
		must.EqOp(t, 10*units.Token, c.drain(old[1], 2))
	})
}

// missLog keeps a daemon from reading the log for so long that it drops its shares.
func (c *cluster) missLog(i int, roster []int) {
	c.cutOffLog(i)
	time.Sleep(2 * period)
	c.publish(roster...)
	time.Sleep(2 * period)
	d := c.daemons[i]
	d.mu.Lock()
	d.cutOff = false
	d.mu.Unlock()
	time.Sleep(2 * time.Second)
}

// A daemon that stops hands its shares over, and its next process gets the balances back.
func TestRestartKeepsTheBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		i := c.leaders()[0]
		must.EqOp(t, 7*units.Token, c.lend(i, 2, 7).Amount)
		c.restart(i, 2)
		time.Sleep(time.Second)
		c.publish()
		time.Sleep(2*period + 2*time.Second)
		must.EqOp(t, 3*units.Token, c.drain(i, 3))
		must.Zero(t, c.drain(i, 4))
	})
}

// The standby of an ended process lends of its share, once, and hands the rest over to the
// next process of the daemon.
func TestEndedRunsShareIsLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		i := c.leaders()[0]
		c.restart(i, 2)
		standby := -1
		for n, d := range c.daemons {
			if len(d.handovers) > 0 {
				standby = n
			}
		}
		must.EqOp(t, 4*units.Token, c.lend(standby, 2, 4).Amount)
		again := c.daemons[standby].handovers[0]
		c.daemons[standby].lend.AcceptHandover(again)
		c.publish()
		time.Sleep(2*period + 2*time.Second)
		must.False(t, c.lend(standby, 3, 1).IsLeader)
		must.EqOp(t, 6*units.Token, c.drain(i, 2))
		again.To.Daemon, again.To.Incarnation = c.daemons[i].Self()
		c.daemons[i].lend.AcceptHandover(again)
		must.Zero(t, c.drain(i, 3))
	})
}

// A duplicate of a handover must not restore a share at a standby that has lent all of it
// and dropped it since: its tokens would be spent twice.
func TestEndedRunsShareIsKeptOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		ended := c.daemons[c.leaders()[0]]
		must.NoError(t, ended.kern.Stop(time.Second))
		c.mu.Lock()
		ended.stopped = true
		c.mu.Unlock()
		for n, d := range c.daemons {
			if len(d.handovers) == 0 {
				continue
			}
			must.EqOp(t, 10*units.Token, c.drain(n, 2))
			c.missLog(n, c.without(-1))
			d.lend.AcceptHandover(d.handovers[0])
			must.Zero(t, c.drain(n, 3))
			return
		}
		t.Fatal("no daemon has the share as a standby")
	})
}

// All of the burst can be used while a quota leader is down that stopped in an orderly
// way.
func TestBurstWhileHolderIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		i := c.leaders()[0]
		c.restart(i, 2)
		for n := range slowAccount.Burst {
			must.NoError(t, c.send(c.without(i)[0], time.Second), must.Sprint(n, " of the burst"))
		}
		must.Error(t, c.send(c.without(i)[0], time.Second))
		c.check()
	})
}

// A roster or an edit that changes neither the quota leaders nor the limits of an account
// has no effect on it.
func TestOtherRostersHaveNoEffect(t *testing.T) {
	for _, edits := range []bool{false, true} {
		var answers [2][]message.Lent
		for run := range answers {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, settings.Account{Rate: 3, Burst: 20})
				time.Sleep(fillTime)
				leaders := c.leaders()
				for step := range 200 {
					if run == 1 && step%20 == 10 {
						c.moveOther(leaders, step/20, edits)
					}
					for _, i := range leaders {
						answers[run] = append(answers[run], c.lend(i, uint64(step+2), units.Tokens(step%4)))
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		must.Eq(t, answers[0], answers[1])
	}
}

// moveOther publishes a roster without some daemon that has no share, or an edit that
// leaves the limits unchanged.
func (c *cluster) moveOther(leaders []int, n int, edits bool) {
	if edits {
		values := valuesOf(c.limits)
		values["weight"] = "2"
		c.edit(schoolPath, values)
		return
	}
	for i := range c.daemons {
		if contains(leaders, i) {
			continue
		}
		if n--; n%4 == 0 {
			c.publish(c.without(i)...)
			return
		}
	}
	c.publish()
}

// A new account can use its whole burst as soon as its section has been read. Shares that
// were dropped after that must not start full again.
func TestNewAccountIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(fillTime)
		at := c.now().Version(schoolPath)
		must.Positive(t, at)
		c.edit(schoolPath, nil)
		c.edit("teams/andrade/accounts/fresh", valuesOf(slowAccount))
		time.Sleep(period / 2)
		must.EqOp(t, 20*units.Token, c.drainAll("andrade/fresh", 2))
		must.Zero(t, c.drainAll("andrade/fresh", 3))
		for i := range c.daemons {
			c.missLog(i, c.without(-1))
		}
		must.LessEq(t, 6*units.Token, c.drainAll("andrade/fresh", 4))
	})
}

// An account that is removed and created again starts empty, because daemons that have
// not read these edits may still admit requests with tokens of the earlier one.
func TestAccountMadeAgainStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		must.EqOp(t, 20*units.Token, c.drainAll(school, 2))
		c.edit(schoolPath, nil)
		c.edit(schoolPath, valuesOf(slowAccount))
		time.Sleep(period / 2)
		must.Zero(t, c.drainAll(school, 3))
		time.Sleep(2 * period)
		must.Zero(t, c.drainAll(school, 4))
	})
}

// The same applies when another daemon has the share by then.
func TestAccountMadeAgainElsewhereStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, slowAccount)
		time.Sleep(10 * fillTime)
		ended := c.leaders()[0]
		must.EqOp(t, 20*units.Token, c.drainAll(school, 2))
		c.publish(c.without(ended)...)
		c.edit(schoolPath, nil)
		c.edit(schoolPath, valuesOf(slowAccount))
		time.Sleep(2*period + 2*time.Second)
		must.Zero(t, c.drainAll(school, 3))
	})
}

// An edit of the limits leaves the share of an idle account full.
func TestEditedAccountStaysFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, settings.Account{Rate: 10, Burst: 20})
		time.Sleep(2 * fillTime)
		c.edit(schoolPath, valuesOf(settings.Account{Rate: 5, Burst: 30}))
		time.Sleep(period / 2)
		must.EqOp(t, 30*units.Token, c.drainAll(school, 2))
	})
}
