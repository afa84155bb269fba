package soak

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	watchPeriod = 100 * time.Millisecond
	// floorOf is the floor of both services, which is the default of settings.
	floorOf units.Percent = 60
	percent               = 100
)

// watch looks at every daemon until the run is over.
func (s *Soak) watch() {
	for s.pause(watchPeriod) {
		for _, l := range s.lives() {
			s.keys.note(l.force.Newest(), s.since())
			s.inspect(l)
		}
		s.checkFloors()
	}
}

// inspect checks the settings that a daemon has applied.
func (s *Soak) inspect(l *life) {
	l.standing.Confirmed()
	var at ids.Offset
	var digest replay.Digest
	var lost string
	l.tail.View(func(state *replay.State) {
		at, digest, lost = state.Offset(), state.Digest(), s.edits.reverted(state)
	})
	s.seen()
	if lost != "" {
		s.breach("daemon %s reverted an edit: %s", l.node.id, lost)
	}
	if !s.digests.same(at, digest) {
		s.breach("daemon %s has settings of its own at offset %d", l.node.id, at)
	}
}

// seen counts a check of the run itself.
func (s *Soak) seen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Checks++
}

// checkFloors sums up what the gatekeepers keep out of use. Ejection alone never
// takes more than the floor leaves of all announced slots.
func (s *Soak) checkFloors() {
	out := map[ids.Service]units.Slots{}
	all := map[ids.Service]units.Slots{}
	for _, n := range s.nodes {
		all[n.service] += slots
		l := n.current()
		if l == nil {
			continue
		}
		for _, t := range l.gossip.LocalMember().Targets {
			if t.Ejected {
				out[t.Service] += t.Slots
			}
		}
	}
	s.seen()
	for id, ejected := range out {
		s.noteOut(ejected)
		if float64(ejected)*percent > float64(all[id])*float64(percent-floorOf) {
			s.breach("%d of %d slots of %s are ejected, but its floor is %v %%", ejected, all[id], id, floorOf)
		}
	}
}

func (s *Soak) noteOut(ejected units.Slots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ejected > 0 {
		s.report.Ejected += watchPeriod
	}
}
