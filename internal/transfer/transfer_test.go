package transfer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/transfer"
	"balsamwharf.example/balsamwharf/internal/units"
)

func releasedShare(giver ids.Daemon, balance units.Tokens) transfer.ReleasedShare {
	return transfer.ReleasedShare{Account: "a/school", Giver: roster.Process{Daemon: giver, Incarnation: 1}, Balance: balance, Age: time.Second}
}

func at(d time.Duration) units.Instant { return units.Instant(d) }

// A share is removed once, with its age as of then; a duplicate message adds nothing.
func TestTakenOnce(t *testing.T) {
	tr := transfer.Store{Limit: 2, Retention: time.Minute}
	must.True(t, tr.Put(at(0), releasedShare("vm1", 5)))
	must.True(t, tr.Put(at(0), releasedShare("vm1", 5)))
	must.Len(t, 1, tr.ForAccount("a/school"))
	got, ok := tr.Remove(at(2*time.Second), releasedShare("vm1", 0).Key())
	must.True(t, ok)
	must.EqOp(t, 5, got.Balance)
	must.EqOp(t, 3*time.Second, got.Age)
	_, ok = tr.Remove(at(2*time.Second), got.Key())
	must.False(t, ok)
}

func TestBounds(t *testing.T) {
	cases := []struct {
		name string
		put  transfer.ReleasedShare
		ok   bool
	}{
		{"room for one", releasedShare("vm1", 5), true},
		{"a balance below zero", releasedShare("vm1", -1), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := transfer.Store{Limit: 1, Retention: time.Minute}
			must.EqOp(t, c.ok, tr.Put(at(0), c.put))
		})
	}
	tr := transfer.Store{Limit: 1, Retention: time.Minute}
	must.True(t, tr.Put(at(0), releasedShare("vm1", 5)))
	must.False(t, tr.Put(at(0), releasedShare("vm2", 5)))
	must.Len(t, 1, tr.Unexpired(at(time.Minute)))
	must.SliceEmpty(t, tr.Unexpired(at(time.Minute+1)))
	must.True(t, tr.Put(at(2*time.Minute), releasedShare("vm2", 5)))
}
