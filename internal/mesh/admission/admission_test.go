package admission_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/mesh/admission"
	"balsamwharf.example/balsamwharf/internal/mesh/waitlist"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// withAdmission runs a test with an admission service in virtual time.
func withAdmission(t *testing.T, test func(t *testing.T, a *admission.Admission, c *common.Common)) {
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Mesh.Admission = settings.Admission{Terms: "base,short", When: "short"}
		a := &admission.Admission{Common: c}
		var k kernel.Kernel
		k.Add(c.Clock)
		k.Add(a)
		must.NoError(t, k.Start(t.Context()))
		defer func() { must.NoError(t, k.Stop(time.Second)) }()
		test(t, a, c)
		// A task may still wait for the end of a pause.
		time.Sleep(time.Second)
	})
}

func entry(c *common.Common, latest time.Duration) *waitlist.Entry {
	now := c.Clock.Now()
	return &waitlist.Entry{Account: "school", Rank: 1, Since: now, Latest: now.Add(latest)}
}

// Load pattern: 200 requests at once for a service with room for one every 20 ms. All have a turn in
// the end, none is offered at the same time as many others, and the service is not short afterwards.
func TestTurns(t *testing.T) {
	withAdmission(t, func(t *testing.T, a *admission.Admission, c *common.Common) {
		var mu sync.Mutex
		free, served, offering, most := 0, 0, 0, 0
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for c.Clock.Sleep(ctx, 20*time.Millisecond) == nil {
				mu.Lock()
				free = min(free+1, 5)
				mu.Unlock()
			}
		}()
		offer := func() bool {
			mu.Lock()
			offering++
			most = max(most, offering)
			mu.Unlock()
			time.Sleep(time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			offering--
			if free == 0 {
				return false
			}
			free--
			served++
			return true
		}
		var tasks sync.WaitGroup
		for range 200 {
			tasks.Go(func() {
				e := entry(c, time.Minute)
				turn, err := a.Wait(t.Context(), "quotes", e)
				for err == nil && !offer() {
					turn.End(waitlist.Declined)
					turn, err = a.WaitAgain(t.Context(), "quotes", e)
				}
				must.NoError(t, err)
				turn.End(waitlist.Granted)
			})
		}
		tasks.Wait()
		stop()
		must.EqOp(t, 200, served)
		must.LessEq(t, 32, most)
		must.False(t, a.Short("quotes"))
	})
}

// A request whose time is over, or whose caller leaves, waits no longer, and others still have their
// turn: guards against turns that are lost with a request.
func TestLeaving(t *testing.T) {
	withAdmission(t, func(t *testing.T, a *admission.Admission, c *common.Common) {
		var held []*admission.Turn
		for range 3 {
			turn, err := a.Wait(t.Context(), "quotes", entry(c, time.Minute))
			must.NoError(t, err)
			held = append(held, turn)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := a.Wait(ctx, "quotes", entry(c, time.Minute))
		must.ErrorIs(t, err, context.Canceled)
		began := c.Clock.Now()
		_, err = a.Wait(t.Context(), "quotes", entry(c, 300*time.Millisecond))
		must.ErrorIs(t, err, admission.ErrTooLate)
		must.EqOp(t, 300*time.Millisecond, c.Clock.Now().Sub(began))
		must.False(t, a.Short("quotes"))
		last := make(chan error)
		go func() {
			turn, err := a.Wait(t.Context(), "quotes", entry(c, time.Minute))
			if err == nil {
				turn.End(waitlist.Granted)
			}
			last <- err
		}()
		synctest.Wait()
		must.True(t, a.Short("quotes"))
		held[0].End(waitlist.Left)
		held[0].End(waitlist.Left)
		must.NoError(t, <-last)
	})
}

// Refused callers are told to come back at different times.
func TestRetryAfterIsSpread(t *testing.T) {
	withAdmission(t, func(t *testing.T, a *admission.Admission, _ *common.Common) {
		seen := map[string]bool{}
		for range 20 {
			wait := a.RetryAfter("quotes", "school", 1)
			must.Between(t, 250*time.Millisecond, wait, 750*time.Millisecond)
			seen[fmt.Sprint(wait)] = true
		}
		must.Greater(t, 10, len(seen))
	})
}
