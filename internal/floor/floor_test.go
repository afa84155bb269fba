package floor_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"balsamwharf.example/balsamwharf/internal/floor"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/rosterhistory"
	"balsamwharf.example/balsamwharf/internal/units"
)

const wait = floor.Lease + floor.ClockMargin

// capacity has room for seven of eighteen slots.
var capacity = floor.Capacity{Announced: 18, Healthy: 18, Floor: 60}

func TestRoom(t *testing.T) {
	cases := []struct {
		name string
		c    floor.Capacity
		room units.Slots
	}{
		{name: "quotes", c: capacity, room: 7},
		{name: "single target", c: floor.Capacity{Announced: 3, Healthy: 3, Floor: 60}, room: 1},
		{name: "everything kept", c: floor.Capacity{Announced: 9, Healthy: 9, Floor: 100}, room: 0},
		{name: "half the VMs lost", c: floor.Capacity{Announced: 18, Healthy: 9, Floor: 60}, room: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.EqOp(t, c.room, c.c.Headroom()) })
	}
}

func claim(name string, number uint64, badness float64) floor.Claim {
	return floor.Claim{Holder: floor.Holder{Daemon: ids.Daemon(name)}, Number: number, Slots: 3, Badness: badness}
}

// The least bad target makes room for a much worse one.
func TestLeastBadStays(t *testing.T) {
	var f floor.Ledger
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(0, claim("a", 1, 20), capacity))
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(0, claim("b", 1, 50), capacity))
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.AtFloor}), f.Decide(0, claim("c", 1, 90), capacity))
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(1, claim("b", 2, 50), capacity))
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.Preempted}), f.Decide(1, claim("a", 2, 20), capacity))
	f.Release(2, floor.Holder{Daemon: "a"}, 3)
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(2, claim("c", 2, 90), capacity))
}

// When capacity shrinks, renewals are refused until the floor holds again.
func TestShrink(t *testing.T) {
	var f floor.Ledger
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(0, claim("a", 1, 20), capacity))
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(0, claim("b", 1, 20), capacity))
	less := floor.Capacity{Announced: 9, Healthy: 9, Floor: 60}
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.AtFloor}), f.Decide(1, claim("a", 2, 20), less))
	f.Release(1, floor.Holder{Daemon: "a"}, 3)
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(2, claim("b", 2, 20), less))
}

// A release that was overtaken by a later claim doesn't end that claim's permit.
func TestLateRelease(t *testing.T) {
	var f floor.Ledger
	must.Eq(t, floor.Decision(floor.Granted{}), f.Decide(0, claim("a", 3, 20), capacity))
	f.Release(1, floor.Holder{Daemon: "a"}, 2)
	must.EqOp(t, units.Slots(3), f.EjectedSlots(1))
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.Stale}), f.Decide(1, claim("a", 2, 20), capacity))
}

// TestMain fixes the seed of the random runs unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "2000")
		_ = flag.Set("rapid.steps", "60")
	}
	os.Exit(m.Run())
}

// world is two possible stewards, some holders and a network that loses, delays,
// reorders and repeats messages.
type world struct {
	t        *rapid.T
	now      units.Instant
	version  ids.Offset
	switched units.Instant
	books    map[ids.Daemon]*floor.Ledger
	tenures  map[ids.Daemon]*rosterhistory.History
	paused   map[ids.Daemon]bool
	until    map[ids.Daemon]units.Instant
	number   uint64
	given    map[ids.Daemon]uint64
	net      []parcel
}

// parcel is a claim, a release or the grant of a claim under way.
type parcel struct {
	claim   floor.Claim
	asked   units.Instant
	to      ids.Daemon
	release bool
	granted bool
}

var (
	stewards = []ids.Daemon{"s1", "s2"}
	holders  = []ids.Daemon{"a", "b", "c", "d", "e", "f"}
)

func (w *world) roster() roster.Roster {
	return roster.Roster{Version: w.version, Entries: []roster.Entry{{Daemon: stewards[w.version%2]}}}
}

// advance lets time pass in steps; stewards that aren't paused observe the roster.
func (w *world) advance() {
	for range rapid.IntRange(1, 10).Draw(w.t, "steps") {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, s := range stewards {
			if !w.paused[s] {
				w.tenures[s].Observe(w.now, w.roster())
			}
		}
		w.check()
	}
}

func (w *world) ask() {
	h := rapid.SampledFrom(holders).Draw(w.t, "holder")
	w.number++
	c := floor.Claim{Holder: floor.Holder{Daemon: h}, Number: w.number, Slots: 3, Badness: rapid.Float64Range(18, 90).Draw(w.t, "badness")}
	w.net = append(w.net, parcel{claim: c, asked: w.now, to: stewards[w.version%2]})
}

func (w *world) release() {
	h := rapid.SampledFrom(holders).Draw(w.t, "holder")
	w.number++
	w.until[h] = 0
	w.given[h] = w.number
	c := floor.Claim{Holder: floor.Holder{Daemon: h}, Number: w.number}
	w.net = append(w.net, parcel{claim: c, to: stewards[w.version%2], release: true})
}

// claim is an ask that mostly arrives and is answered at once.
func (w *world) claim() {
	w.ask()
	for range 2 {
		if len(w.net) > 0 && rapid.IntRange(0, 5).Draw(w.t, "arrives") > 0 {
			w.take(len(w.net) - 1)
		}
	}
}

// deliver takes any message; it may come again later.
func (w *world) deliver() {
	if len(w.net) == 0 {
		w.t.Skip("nothing under way")
	}
	w.take(rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message"))
}

func (w *world) take(i int) {
	m := w.net[i]
	if rapid.IntRange(0, 4).Draw(w.t, "repeat") > 0 {
		w.net = slices.Delete(w.net, i, i+1)
	}
	holder := m.claim.Holder.Daemon
	switch {
	case m.granted && m.claim.Number < w.given[holder]:
	case m.granted:
		w.until[holder] = max(w.until[holder], m.asked.Add(floor.Lease))
	case w.paused[m.to]:
	case m.release:
		w.books[m.to].Release(w.now, m.claim.Holder, m.claim.Number)
	default:
		w.decide(m)
	}
}

func (w *world) decide(m parcel) {
	w.tenures[m.to].Observe(w.now, w.roster())
	since, ok := w.tenures[m.to].HeldSince(func(r roster.Roster) bool { return r.Entries[0].Daemon == m.to })
	if !ok || w.now.Sub(since) < wait {
		return
	}
	if _, ok := w.books[m.to].Decide(w.now, m.claim, capacity).(floor.Granted); ok {
		m.granted = true
		w.net = append(w.net, m)
	}
}

func (w *world) pause() {
	s := rapid.SampledFrom(stewards).Draw(w.t, "steward")
	w.paused[s] = !w.paused[s]
}

// change puts another roster into force; each is in force for a while.
func (w *world) change() {
	if w.now.Sub(w.switched) < 1500*time.Millisecond {
		w.t.Skip("too early")
	}
	w.version++
	w.switched = w.now
}

func (w *world) check() {
	var out units.Slots
	for _, h := range holders {
		if w.now.Before(w.until[h]) {
			out += 3
		}
	}
	if out > capacity.Headroom() {
		w.t.Fatalf("%d slots are out at %v, but the room is %d", out, time.Duration(w.now), capacity.Headroom())
	}
}

// The floor holds whatever is lost, late, repeated or paused, and whoever is steward.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:       t,
			books:   map[ids.Daemon]*floor.Ledger{"s1": {}, "s2": {}},
			tenures: map[ids.Daemon]*rosterhistory.History{"s1": {MaxGap: time.Second, Limit: 64}, "s2": {MaxGap: time.Second, Limit: 64}},
			paused:  map[ids.Daemon]bool{},
			until:   map[ids.Daemon]units.Instant{},
			given:   map[ids.Daemon]uint64{},
		}
		for range 16 {
			w.now = w.now.Add(250 * time.Millisecond)
			for _, s := range stewards {
				w.tenures[s].Observe(w.now, w.roster())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { w.check() },
			"advance": func(*rapid.T) { w.advance() },
			"ask":     func(*rapid.T) { w.ask() },
			"claim":   func(*rapid.T) { w.claim() },
			"renew":   func(*rapid.T) { w.claim() },
			"demand":  func(*rapid.T) { w.claim() },
			"release": func(*rapid.T) { w.release() },
			"deliver": func(*rapid.T) { w.deliver() },
			"pause":   func(*rapid.T) { w.pause() },
			"change":  func(*rapid.T) { w.change() },
		})
	})
}
