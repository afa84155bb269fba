package claim_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/claim"
	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/message"
)

func TestOf(t *testing.T) {
	attempt := idempotency.Attempt{Daemon: "vm1"}
	cases := []struct {
		name    string
		message message.Message
		daemon  ids.Daemon
		claims  bool
	}{
		{name: "borrower", message: message.Borrow{Request: loan.Request{Borrower: loan.Borrower{Daemon: "vm1"}}}, daemon: "vm1", claims: true},
		{name: "attempt", message: message.GuardBegin{Attempt: attempt}, daemon: "vm1", claims: true},
		{name: "end of an attempt", message: message.GuardEnd{Attempt: attempt}, daemon: "vm1", claims: true},
		{name: "end passed on by the guard", message: message.GuardEnd{Attempt: attempt, Forwarded: true}, daemon: "vm1"},
		{name: "gossip", message: message.Announce{}},
		{name: "question", message: message.LeaseQuery{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			daemon, claims := claim.Sender(c.message)
			must.EqOp(t, c.claims, claims)
			must.EqOp(t, c.daemon, daemon)
		})
	}
}
