package gatekeeper

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/invariant"
)

// A request that gives up just when it gets its slot hands the slot on.
func TestGiveUpAfterGrant(t *testing.T) {
	g := newGate(&invariant.Invariant{Strict: true}, 1)
	h := call.Head{Account: "a", Weight: 1, Remaining: time.Hour}
	first, err := g.join(h)
	must.NoError(t, err)
	must.Nil(t, first)
	second, _ := g.join(h)
	third, _ := g.join(h)
	g.leave(h, time.Millisecond)
	g.giveUp(second, h)
	must.NoError(t, <-third.decided)
	g.leave(h, time.Millisecond)
	must.True(t, g.idle())
}
