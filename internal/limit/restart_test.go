package limit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	restartEvery = 12 * time.Second
	// absence is how long a restarted daemon is away, and rosterDelay how long it
	// takes until a roster names its new run.
	absence     = 3 * time.Second
	rosterDelay = 1500 * time.Millisecond
	callerWait  = time.Second
)

// load is the traffic of one account and what came of it.
type load struct {
	id     ids.Account
	limits settings.Account

	mu             sync.Mutex
	sent           int
	wronglyRefused int
	level          float64
	last           time.Time
}

// conforms runs an ideal bucket over the arrivals.
func (l *load) conforms() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.level = max(0, l.level-float64(l.limits.Rate)*now.Sub(l.last).Seconds())
	l.last = now
	l.sent++
	if l.level+1 > float64(l.limits.Burst) {
		return false
	}
	l.level++
	return true
}

// sendPoisson sends requests at a part of the rate, as a Poisson process.
func (l *load) sendPoisson(w *cluster, rng *rand.Rand, part float64, end time.Time) {
	var all sync.WaitGroup
	defer all.Wait()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.ExpFloat64() / (part * float64(l.limits.Rate)) * float64(time.Second)))
		d := w.live(rng)
		conforms := l.conforms()
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerWait)
			defer cancel()
			if err := d.limit.Admit(ctx, l.id, l.limits); err != nil && conforms {
				l.mu.Lock()
				l.wronglyRefused++
				l.mu.Unlock()
			}
		})
	}
}

// live returns a random daemon that runs.
func (w *cluster) live(rng *rand.Rand) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		d := w.daemons[rng.IntN(len(w.daemons))]
		if !d.stopped && !d.draining {
			return d
		}
	}
}

// rollingRestart restarts one daemon after the other.
func (w *cluster) rollingRestart(end time.Time) {
	for i := 0; time.Now().Before(end); i = (i + 1) % len(w.daemons) {
		next := time.Now().Add(restartEvery)
		w.mu.Lock()
		old := w.daemons[i]
		old.draining = true
		w.mu.Unlock()
		// Callers go elsewhere first, and the requests here end.
		time.Sleep(callerWait)
		must.NoError(w.t, old.kern.Stop(time.Second))
		w.mu.Lock()
		old.stopped = true
		w.mu.Unlock()
		time.Sleep(absence)
		fresh := w.start(i, old.entry.Incarnation+1)
		w.mu.Lock()
		w.daemons[i] = fresh
		w.mu.Unlock()
		time.Sleep(rosterDelay)
		w.publish()
		time.Sleep(time.Until(next))
	}
}

// Accounts at 60% of their rate, while one daemon of 24 is restarted every 12 s.
func TestRefusedWithinRateWhileDaemonsRestart(t *testing.T) {
	const part, span = 0.6, 10 * time.Minute
	synctest.Test(t, func(t *testing.T) {
		w := newWorldLag(t, 24, settings.Account{Rate: 1, Burst: 2}, 100*time.Millisecond)
		var loads []*load
		for i, rate := range []int{5, 10, 20, 30, 40, 60, 80, 100} {
			l := &load{id: ids.Account(fmt.Sprint("andrade/a", i)), limits: settings.Account{Rate: units.Rate(rate), Burst: rate}}
			w.edit(ids.Path(fmt.Sprint("teams/andrade/accounts/a", i)), valuesOf(l.limits))
			loads = append(loads, l)
		}
		time.Sleep(fillTime)
		end := time.Now().Add(span)
		var all sync.WaitGroup
		for i, l := range loads {
			all.Go(func() { l.sendPoisson(w, newRand(uint64(i)), part, end) })
		}
		w.rollingRestart(end)
		all.Wait()
		sent, wrongful := 0, 0
		for _, l := range loads {
			t.Logf("rate %v: %d of %d requests refused within the rate", l.limits.Rate, l.wronglyRefused, l.sent)
			sent += l.sent
			wrongful += l.wronglyRefused
		}
		t.Logf("in all: %d of %d", wrongful, sent)
		must.LessEq(t, sent, wrongful*1000)
	})
}
