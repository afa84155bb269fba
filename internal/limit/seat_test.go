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

// lend asks daemon i's lender for tokens as a borrower that no test run uses.
func (w *cluster) lend(i int, number uint64, n units.Tokens) message.Lent {
	q := loan.Request{Borrower: loan.Borrower{Daemon: "tester"}, Number: number, Need: n * units.Token}
	return w.daemons[i].lend.Lend("tester", message.Borrow{Account: school, Question: q})
}

// cutOffLog cuts daemon i off from the log.
func (w *cluster) cutOffLog(i int) {
	d := w.daemons[i]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutOff = true
}

// A holder without a confirmation lends nothing.
func TestUnconfirmedHolderLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, settings.Account{Rate: 10, Burst: 10})
		time.Sleep(fillTime)
		must.EqOp(t, units.Token, w.lend(0, 1, 1).Amount)
		w.cutOffLog(0)
		time.Sleep(period)
		must.False(t, w.lend(0, 2, 1).Holds)
	})
}

// A question in the name of another daemon is refused.
func TestBorrowerIsTheSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, settings.Account{Rate: 10, Burst: 10})
		time.Sleep(fillTime)
		q := loan.Request{Borrower: loan.Borrower{Daemon: "other"}, Number: 1, Need: units.Token}
		must.False(t, w.daemons[0].lend.Lend("tester", message.Borrow{Account: school, Question: q}).Holds)
	})
}

// When a roster splits the account over fewer holders, the larger share stays
// empty until the earlier holders' tokens have ended, used lately or not.
func TestOtherNumberOfHolders(t *testing.T) {
	for _, used := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2, settings.Account{Rate: 10, Burst: 10})
			time.Sleep(fillTime)
			if used {
				must.EqOp(t, 5*units.Token, w.lend(0, 1, 10).Amount)
			}
			w.publish(0)
			time.Sleep(period - 10*time.Millisecond)
			must.Zero(t, w.lend(0, 4, 10).Amount)
			time.Sleep(time.Second)
			must.Zero(t, w.lend(0, 5, 10).Amount)
			time.Sleep(2 * time.Second)
			must.EqOp(t, 10*units.Token, w.lend(0, 6, 10).Amount)
		})
	}
}

// drainAll takes all tokens that all holders have of an account.
func (w *cluster) drainAll(id ids.Account, number uint64) units.Tokens {
	var sum units.Tokens
	for _, d := range w.daemons {
		q := loan.Request{Borrower: loan.Borrower{Daemon: "tester"}, Number: number, Need: 1000 * units.Token}
		sum += d.lend.Lend("tester", message.Borrow{Account: id, Question: q}).Amount
	}
	return sum
}
