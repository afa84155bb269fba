package limit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// lend borrows tokens from daemon i as a borrower that isn't one of the daemons.
func (c *cluster) lend(i int, number uint64, n units.Tokens) message.Lent {
	request := loan.Request{Borrower: loan.Borrower{Daemon: "tester"}, Number: number, Need: n * units.Token}
	return c.daemons[i].lend.Lend("tester", message.Borrow{Account: school, Request: request})
}

// cutOffLog cuts daemon i off from the log.
func (c *cluster) cutOffLog(i int) {
	d := c.daemons[i]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutOff = true
}

// A quota leader without a read lease lends nothing.
func TestUnconfirmedHolderLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, settings.Account{Rate: 10, Burst: 10})
		time.Sleep(fillTime)
		must.EqOp(t, units.Token, c.lend(0, 1, 1).Amount)
		c.cutOffLog(0)
		time.Sleep(period)
		must.False(t, c.lend(0, 2, 1).IsLeader)
	})
}

// A request in the name of another daemon than the sender is refused.
func TestBorrowerIsTheSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, settings.Account{Rate: 10, Burst: 10})
		time.Sleep(fillTime)
		request := loan.Request{Borrower: loan.Borrower{Daemon: "other"}, Number: 1, Need: units.Token}
		must.False(t, c.daemons[0].lend.Lend("tester", message.Borrow{Account: school, Request: request}).IsLeader)
	})
}

// When a roster splits the account over fewer quota leaders, the larger share stays empty
// until the tokens of the earlier leaders have expired, whether any were lent or not.
func TestOtherNumberOfHolders(t *testing.T) {
	for _, used := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 2, settings.Account{Rate: 10, Burst: 10})
			time.Sleep(fillTime)
			if used {
				must.EqOp(t, 5*units.Token, c.lend(0, 1, 10).Amount)
			}
			c.publish(0)
			time.Sleep(period - 10*time.Millisecond)
			must.Zero(t, c.lend(0, 4, 10).Amount)
			time.Sleep(time.Second)
			must.Zero(t, c.lend(0, 5, 10).Amount)
			time.Sleep(2 * time.Second)
			must.EqOp(t, 10*units.Token, c.lend(0, 6, 10).Amount)
		})
	}
}

// drainAll borrows all tokens of an account from all daemons.
func (c *cluster) drainAll(id ids.Account, number uint64) units.Tokens {
	var sum units.Tokens
	for _, d := range c.daemons {
		request := loan.Request{Borrower: loan.Borrower{Daemon: "tester"}, Number: number, Need: 1000 * units.Token}
		sum += d.lend.Lend("tester", message.Borrow{Account: id, Request: request}).Amount
	}
	return sum
}
