package gatekeeper

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/invariant"
)

// A request that is cancelled just after its slot was granted must pass the slot on to
// the next request, or the slot is lost.
func TestGiveUpAfterGrant(t *testing.T) {
	q := newSlotQueue(&invariant.Invariant{Strict: true}, 1)
	head := call.Head{Account: "a", Weight: 1, Remaining: time.Hour}
	first, err := q.admitOrEnqueue(head)
	must.NoError(t, err)
	must.Nil(t, first)
	second, _ := q.admitOrEnqueue(head)
	third, _ := q.admitOrEnqueue(head)
	q.release(head, time.Millisecond)
	q.cancel(second, head)
	must.NoError(t, <-third.decision)
	q.release(head, time.Millisecond)
	must.True(t, q.idle())
}
