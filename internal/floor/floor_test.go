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

// capacity has a headroom of seven of eighteen slots.
var capacity = floor.Capacity{Announced: 18, Healthy: 18, Floor: 60}

func TestRoom(t *testing.T) {
	cases := []struct {
		name     string
		c        floor.Capacity
		headroom units.Slots
	}{
		{name: "quotes", c: capacity, headroom: 7},
		{name: "single target", c: floor.Capacity{Announced: 3, Healthy: 3, Floor: 60}, headroom: 1},
		{name: "everything kept", c: floor.Capacity{Announced: 9, Healthy: 9, Floor: 100}, headroom: 0},
		{name: "half the VMs lost", c: floor.Capacity{Announced: 18, Healthy: 9, Floor: 60}, headroom: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.EqOp(t, c.headroom, c.c.Headroom()) })
	}
}

func claim(name string, number uint64, badness float64) floor.Claim {
	return floor.Claim{Holder: floor.Holder{Daemon: ids.Daemon(name)}, Number: number, Slots: 3, Badness: badness}
}

// The permit of the least bad target is preempted by the claim of a much worse one.
func TestLeastBadStays(t *testing.T) {
	var l floor.Ledger
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(0, claim("a", 1, 20), capacity))
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(0, claim("b", 1, 50), capacity))
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.AtFloor}), l.Decide(0, claim("c", 1, 90), capacity))
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(1, claim("b", 2, 50), capacity))
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.Preempted}), l.Decide(1, claim("a", 2, 20), capacity))
	l.Release(2, floor.Holder{Daemon: "a"}, 3)
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(2, claim("c", 2, 90), capacity))
}

// When capacity shrinks, renewals are refused until the ejected slots are within the
// headroom again.
func TestShrink(t *testing.T) {
	var l floor.Ledger
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(0, claim("a", 1, 20), capacity))
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(0, claim("b", 1, 20), capacity))
	less := floor.Capacity{Announced: 9, Healthy: 9, Floor: 60}
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.AtFloor}), l.Decide(1, claim("a", 2, 20), less))
	l.Release(1, floor.Holder{Daemon: "a"}, 3)
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(2, claim("b", 2, 20), less))
}

// A release that arrives after a later claim doesn't end that claim's permit.
func TestLateRelease(t *testing.T) {
	var l floor.Ledger
	must.Eq(t, floor.Decision(floor.Granted{}), l.Decide(0, claim("a", 3, 20), capacity))
	l.Release(1, floor.Holder{Daemon: "a"}, 2)
	must.EqOp(t, units.Slots(3), l.EjectedSlots(1))
	must.Eq(t, floor.Decision(floor.Refused{Reason: floor.Stale}), l.Decide(1, claim("a", 2, 20), capacity))
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

// world is two possible stewards, six holders and a network that loses, delays,
// reorders and duplicates messages.
type world struct {
	t            *rapid.T
	now          units.Instant
	version      ids.Offset
	switched     units.Instant
	ledgers      map[ids.Daemon]*floor.Ledger
	histories    map[ids.Daemon]*rosterhistory.History
	paused       map[ids.Daemon]bool
	ejectedUntil map[ids.Daemon]units.Instant
	number       uint64
	released     map[ids.Daemon]uint64
	inTransit    []packet
}

// packet is a claim, a release or a grant in transit.
type packet struct {
	claim   floor.Claim
	sentAt  units.Instant
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

// advance moves the time on in steps. Stewards that aren't paused observe the roster.
func (w *world) advance() {
	for range rapid.IntRange(1, 10).Draw(w.t, "steps") {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, s := range stewards {
			if !w.paused[s] {
				w.histories[s].Observe(w.now, w.roster())
			}
		}
		w.check()
	}
}

func (w *world) send() {
	h := rapid.SampledFrom(holders).Draw(w.t, "holder")
	w.number++
	c := floor.Claim{Holder: floor.Holder{Daemon: h}, Number: w.number, Slots: 3, Badness: rapid.Float64Range(18, 90).Draw(w.t, "badness")}
	w.inTransit = append(w.inTransit, packet{claim: c, sentAt: w.now, to: stewards[w.version%2]})
}

func (w *world) release() {
	h := rapid.SampledFrom(holders).Draw(w.t, "holder")
	w.number++
	w.ejectedUntil[h] = 0
	w.released[h] = w.number
	c := floor.Claim{Holder: floor.Holder{Daemon: h}, Number: w.number}
	w.inTransit = append(w.inTransit, packet{claim: c, to: stewards[w.version%2], release: true})
}

// claim sends a claim. Mostly it and its answer are delivered at once.
func (w *world) claim() {
	w.send()
	for range 2 {
		if len(w.inTransit) > 0 && rapid.IntRange(0, 5).Draw(w.t, "arrives") > 0 {
			w.handle(len(w.inTransit) - 1)
		}
	}
}

// deliver delivers any message. It may be delivered again later.
func (w *world) deliver() {
	if len(w.inTransit) == 0 {
		w.t.Skip("no message in transit")
	}
	w.handle(rapid.IntRange(0, len(w.inTransit)-1).Draw(w.t, "message"))
}

func (w *world) handle(i int) {
	m := w.inTransit[i]
	if rapid.IntRange(0, 4).Draw(w.t, "repeat") > 0 {
		w.inTransit = slices.Delete(w.inTransit, i, i+1)
	}
	holder := m.claim.Holder.Daemon
	switch {
	case m.granted && m.claim.Number < w.released[holder]:
	case m.granted:
		w.ejectedUntil[holder] = max(w.ejectedUntil[holder], m.sentAt.Add(floor.Lease))
	case w.paused[m.to]:
	case m.release:
		w.ledgers[m.to].Release(w.now, m.claim.Holder, m.claim.Number)
	default:
		w.decide(m)
	}
}

func (w *world) decide(m packet) {
	w.histories[m.to].Observe(w.now, w.roster())
	since, ok := w.histories[m.to].HeldSince(func(r roster.Roster) bool { return r.Entries[0].Daemon == m.to })
	if !ok || w.now.Sub(since) < wait {
		return
	}
	if _, ok := w.ledgers[m.to].Decide(w.now, m.claim, capacity).(floor.Granted); ok {
		m.granted = true
		w.inTransit = append(w.inTransit, m)
	}
}

func (w *world) pause() {
	s := rapid.SampledFrom(stewards).Draw(w.t, "steward")
	w.paused[s] = !w.paused[s]
}

// change puts another roster into force. Each is in force for at least 1.5 s.
func (w *world) change() {
	if w.now.Sub(w.switched) < 1500*time.Millisecond {
		w.t.Skip("the roster has changed less than 1.5 s ago")
	}
	w.version++
	w.switched = w.now
}

func (w *world) check() {
	var out units.Slots
	for _, h := range holders {
		if w.now.Before(w.ejectedUntil[h]) {
			out += 3
		}
	}
	if out > capacity.Headroom() {
		w.t.Fatalf("%d slots are ejected at %v, above the headroom of %d", out, time.Duration(w.now), capacity.Headroom())
	}
}

// The floor must hold whatever messages are lost, late or duplicated, whatever steward
// is paused, and across changes of the steward.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:            t,
			ledgers:      map[ids.Daemon]*floor.Ledger{"s1": {}, "s2": {}},
			histories:    map[ids.Daemon]*rosterhistory.History{"s1": {MaxGap: time.Second, Limit: 64}, "s2": {MaxGap: time.Second, Limit: 64}},
			paused:       map[ids.Daemon]bool{},
			ejectedUntil: map[ids.Daemon]units.Instant{},
			released:     map[ids.Daemon]uint64{},
		}
		for range 16 {
			w.now = w.now.Add(250 * time.Millisecond)
			for _, s := range stewards {
				w.histories[s].Observe(w.now, w.roster())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { w.check() },
			"advance": func(*rapid.T) { w.advance() },
			"ask":     func(*rapid.T) { w.send() },
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
