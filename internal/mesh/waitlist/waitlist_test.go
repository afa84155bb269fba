package waitlist_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/waitlist"
	"balsamwharf.example/balsamwharf/internal/units"
)

const millisecond = units.Instant(time.Millisecond)

// world plays a service with slots that hold a request for work, in steps of a millisecond.
type world struct {
	list  waitlist.List
	now   units.Instant
	slots int
	work  units.Instant
	// ends holds when each slot is free again.
	ends []units.Instant
	// served and refused count by account, and offers counts those in vain.
	served, refused map[ids.Account]int
	waited          map[ids.Account]time.Duration
	vain            int
}

func newWorld(slots int, work time.Duration) *world {
	return &world{slots: slots, work: units.Instant(work), served: map[ids.Account]int{}, refused: map[ids.Account]int{}, waited: map[ids.Account]time.Duration{}}
}

// take starts a request if a slot is free.
func (w *world) take(a ids.Account, since units.Instant) bool {
	if len(w.ends) >= w.slots {
		return false
	}
	w.ends = append(w.ends, w.now+w.work)
	w.served[a]++
	w.waited[a] += w.now.Sub(since)
	return true
}

// arrive offers a new request, unless others wait, and lets it wait if there is no room.
func (w *world) arrive(a ids.Account, rank ids.Rank, latest time.Duration) {
	if !w.list.Short() && w.take(a, w.now) {
		return
	}
	if !w.list.Add(&waitlist.Entry{Account: a, Rank: rank, Since: w.now, Latest: w.now.Add(latest)}, w.now) {
		w.refused[a]++
	}
}

// step ends what is done, and offers those whose turn it is.
func (w *world) step() {
	w.now += millisecond
	kept := w.ends[:0]
	for _, at := range w.ends {
		if at > w.now {
			kept = append(kept, at)
		}
	}
	w.ends = kept
	for _, e := range w.list.Next(w.now) {
		if w.take(e.Account, e.Since) {
			w.list.End(e, waitlist.Granted, w.now)
			continue
		}
		w.vain++
		w.list.End(e, waitlist.Declined, w.now)
		if !w.list.Again(e, w.now) {
			w.refused[e.Account]++
		}
	}
}

// Load pattern: twice the room of a service for 8 s, then half of it. No more requests are offered in
// vain than are served, who can't be served in time is refused, nearly all slots are used, nobody is
// refused any more 3 s after the burst, and nobody waits any more when its backlog has been served.
func TestBurst(t *testing.T) {
	w := newWorld(50, 500*time.Millisecond)
	r := rand.New(rand.NewPCG(1, 1))
	arrivals := func(seconds, perSecond int) {
		for range seconds * 1000 {
			if r.IntN(1000) < perSecond {
				w.arrive("a", 1, 3*time.Second)
			}
			w.step()
		}
	}
	arrivals(8, 200)
	must.Greater(t, 8*100*9/10, w.served["a"])
	must.Positive(t, w.refused["a"])
	must.LessEq(t, w.served["a"], w.vain)
	arrivals(3, 50)
	refused := w.refused["a"]
	arrivals(5, 50)
	must.EqOp(t, refused, w.refused["a"])
	must.EqOp(t, 0, w.list.Len())
}

// Load pattern: one of 77 accounts sends 7.5 times its usual while a service has room for all others.
// The share of the others that is served stays within 2% of all.
func TestHotAccount(t *testing.T) {
	const accounts, usual = 77, 2
	w := newWorld(100, 500*time.Millisecond)
	r := rand.New(rand.NewPCG(1, 2))
	sent := map[ids.Account]int{}
	for range 20_000 {
		w.step()
		for range 2 {
			if r.IntN(2000) < accounts*usual {
				a := ids.Account(fmt.Sprint(r.IntN(accounts)))
				sent[a]++
				w.arrive(a, 1, 3*time.Second)
			}
		}
		if r.IntN(1000) < 100 {
			sent["0"]++
			w.arrive("0", 1, 3*time.Second)
		}
	}
	others, lost := 0, 0
	for a, n := range sent {
		if a != "0" {
			others, lost = others+n, lost+w.refused[a]
		}
	}
	must.LessEq(t, others/50, lost)
	must.Greater(t, 10, w.served["0"])
}

// Load pattern: an urgent kind alone takes twice the room. A tenth is left to the other one.
func TestLowRankKeepsAFloor(t *testing.T) {
	w := newWorld(50, 500*time.Millisecond)
	r := rand.New(rand.NewPCG(1, 3))
	for range 20_000 {
		w.step()
		if r.IntN(1000) < 200 {
			w.arrive("urgent", 0, 2*time.Second)
		}
		if r.IntN(1000) < 30 {
			w.arrive("low", 2, 10*time.Second)
		}
	}
	must.Greater(t, 20*100/12, w.served["low"])
	must.Greater(t, 20*100*8/10, w.served["urgent"])
}

// Whatever happens, no more requests are offered at a time than the window allows, each has one turn
// at a time, and those that wait are never lost.
func TestNothingIsLost(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 4))
		var l waitlist.List
		var offered []*waitlist.Entry
		waiting, added, ended := 0, 0, 0
		for now := units.Instant(0); now < 5000*millisecond; now += units.Instant(r.IntN(20)) * millisecond {
			if l.Add(&waitlist.Entry{Account: ids.Account(fmt.Sprint(r.IntN(5))), Rank: ids.Rank(r.IntN(3)), Since: now, Latest: now + 1000*millisecond}, now) {
				added++
				waiting++
			}
			turns := l.Next(now)
			waiting -= len(turns)
			offered = append(offered, turns...)
			must.LessEq(t, 32, len(offered))
			for len(offered) > 0 && r.IntN(3) > 0 {
				e := offered[0]
				offered = offered[1:]
				result := []waitlist.Result{waitlist.Granted, waitlist.Declined, waitlist.Left}[r.IntN(3)]
				l.End(e, result, now)
				if result == waitlist.Declined && l.Again(e, now) {
					waiting++
				} else {
					ended++
				}
			}
			must.EqOp(t, waiting, l.Len())
		}
		must.EqOp(t, added, waiting+len(offered)+ended)
	}
}
