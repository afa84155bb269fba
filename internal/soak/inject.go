package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/standin"
)

// inject runs the events at their times and returns when all have ended.
func (s *Soak) inject(events []Event) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range events {
		time.Sleep(e.At - time.Since(began))
		s.count(e.Fault)
		wg.Go(func() { s.apply(e) })
	}
	wg.Wait()
	s.heal()
}

// count adds the event to the report.
func (s *Soak) count(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Faults[strings.TrimPrefix(fmt.Sprintf("%T", f), "soak.")]++
}

// heal takes back what overlapping faults may have left.
func (s *Soak) heal() {
	s.log.SetAway(false)
	s.log.SetSlow(0)
	s.log.LoseReplies(0)
	s.log.DropAppends(0)
	s.net.SetDelay(netDelay)
	for _, n := range s.nodes {
		n.standin.Set(standin.None{})
		n.cut.Store(false)
		n.undrain()
		n.start()
	}
}

// apply runs one event from its start to its end.
func (s *Soak) apply(e Event) {
	switch f := e.Fault.(type) {
	case CutWay, Mute, SplitCentre:
		ways := s.ways(f)
		s.cut(ways)
		time.Sleep(e.Lasts)
		s.mend(ways)
	case SlowNet:
		s.net.SetDelay(f.Delay)
		time.Sleep(e.Lasts)
		s.net.SetDelay(netDelay)
	case Pause:
		s.hold(f, e.Lasts)
	case Kill:
		if s.nodes[f.Node].kill() {
			time.Sleep(e.Lasts)
			s.nodes[f.Node].start()
		}
	case Restart:
		if s.nodes[f.Node].stop() {
			time.Sleep(e.Lasts)
			s.nodes[f.Node].start()
		}
	case BadTarget:
		s.nodes[f.Node].standin.Set(f.How)
		time.Sleep(e.Lasts)
		s.nodes[f.Node].standin.Set(standin.None{})
	case Drain:
		s.nodes[f.Node].drain()
		time.Sleep(e.Lasts)
		s.nodes[f.Node].undrain()
	case LogAway, LogSlow, LogCut, LostReplies, DroppedAppends, Expire:
		s.disturb(f, e.Lasts)
	case Grant, Withdraw, Race, Rate:
		s.edit(f)
	}
}

// hold pauses a daemon for a while.
func (s *Soak) hold(f Pause, lasts time.Duration) {
	if l := s.nodes[f.Node].current(); l != nil {
		l.gate.shut()
		time.Sleep(lasts)
		l.gate.free()
	}
}

// disturb runs a fault of the log service.
func (s *Soak) disturb(f Fault, lasts time.Duration) {
	switch f := f.(type) {
	case LogAway:
		s.log.SetAway(true)
		time.Sleep(lasts)
		s.log.SetAway(false)
	case LogSlow:
		s.log.SetSlow(f.Delay)
		time.Sleep(lasts)
		s.log.SetSlow(0)
	case LogCut:
		s.nodes[f.Node].cut.Store(true)
		time.Sleep(lasts)
		s.nodes[f.Node].cut.Store(false)
	case LostReplies:
		s.log.LoseReplies(f.Count)
	case DroppedAppends:
		s.log.DropAppends(f.Count)
	case Expire:
		s.aged.expire(&s.log)
	}
}

// way is one direction between two daemons.
type way struct{ from, to int }

// ways returns what a partition cuts.
func (s *Soak) ways(f Fault) []way {
	var all []way
	for from := range s.nodes {
		for to := range s.nodes {
			if from != to && cuts(f, from, to) {
				all = append(all, way{from: from, to: to})
			}
		}
	}
	return all
}

func cuts(f Fault, from, to int) bool {
	switch f := f.(type) {
	case CutWay:
		return f.From == from && f.To == to
	case Mute:
		return f.Sends && f.Node == from || !f.Sends && f.Node == to
	case SplitCentre:
		return (from%len(centres) == f.Centre) != (to%len(centres) == f.Centre)
	default:
		return false
	}
}

func (s *Soak) cut(ways []way) {
	for _, w := range ways {
		s.net.Cut(s.nodes[w.from].id, s.nodes[w.to].id)
	}
}

func (s *Soak) mend(ways []way) {
	for _, w := range ways {
		s.net.Mend(s.nodes[w.from].id, s.nodes[w.to].id)
	}
}
