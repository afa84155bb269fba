// Package soak runs whole daemons for hours of virtual time under random faults and
// checks the promises to users while they run.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		s := &soak.Soak{Seed: 7, Span: time.Hour}
//		report := s.Run()
//		must.SliceEmpty(t, report.Breaches)
//	})
//
// The daemons are those of package app; fakes stand in only for the network, the
// log service and the backend servers' sockets. The seed fixes the schedule of
// faults and edits and the callers' choices. The daemons draw random numbers of
// their own, so two runs of a seed meet the same faults but not the same timing of
// every message. docs/SOAK.md tells what is covered and what is not.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/fakenet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/internal/logstub"
)

const (
	daemons = 6
	slots   = 3
	callers = 16
	// warmUp is how long the fleet runs before the first fault.
	warmUp = 30 * time.Second
	// calm is how long the fleet may take to converge after the last fault.
	calm = 2 * time.Minute
	// netDelay is the time of one message between daemons.
	netDelay = time.Millisecond
)

// centres are the data centres; the daemons take turns.
var centres = []ids.Centre{"north", "south", "west"}

// servicesOf are the services; the daemons' targets take turns.
var servicesOf = []ids.Service{"andrade/quotes", "andrade/payments"}

// Soak is one run. It must run inside a synctest bubble.
type Soak struct {
	Seed uint64
	// Span is the virtual time of the run, with its warm-up and its calm end.
	Span time.Duration
	// Log receives broken invariants; nil drops them.
	Log *zap.Logger

	net     fakenet.Net
	log     logstub.Stub
	aged    aged
	nodes   []*node
	began   time.Time
	ledger  ledger.Ledger
	keys    keys
	edits   edits
	digests digests

	mu     sync.Mutex
	report Report
	over   chan struct{}
	tasks  sync.WaitGroup
	checks int64
}

// Run runs the fleet to the end of its span and returns what was seen.
func (s *Soak) Run() Report {
	s.began = time.Now()
	s.over = make(chan struct{})
	s.report.Faults = map[string]int{}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.net.SetDelay(netDelay)
	s.publishFirst()
	for i := range daemons {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.tasks.Go(s.watch)
	s.tasks.Go(func() { s.aged.follow(&s.log, s.over) })
	s.settle("at the start")
	calls := s.call()
	s.inject(Schedule(s.Seed, s.Span-warmUp-calm))
	s.settle("after the last fault")
	close(s.over)
	calls.Wait()
	s.tasks.Wait()
	s.last()
	for _, n := range s.nodes {
		n.close()
	}
	s.finish()
	return s.report
}

// rng returns a source of random numbers for one task of the run.
func (s *Soak) rng(task uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, task)) }

// since returns the virtual time since the start of the run.
func (s *Soak) since() time.Duration { return time.Since(s.began) }

// pause sleeps unless the run is over; it reports whether the run goes on.
func (s *Soak) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.over:
		return false
	}
}

// breach notes a broken promise with the seed and the virtual time.
func (s *Soak) breach(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("seed %d at %s: ", s.Seed, s.since()) + fmt.Sprintf(format, args...)
	s.report.add(text)
}

// lives returns the daemons that run now.
func (s *Soak) lives() []*life {
	var all []*life
	for _, n := range s.nodes {
		if l := n.current(); l != nil {
			all = append(all, l)
		}
	}
	return all
}
