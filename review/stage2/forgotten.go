package main

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"balsamwharf.example/balsamwharf/platform/standin"
)

const (
	// outage is for how long the store is down, and stableWindow for how long the store and a process
	// must have been in order until the bound holds.
	outage       = 4500 * time.Millisecond
	stableWindow = 3 * time.Second
	// serveTime is for how long the target serves after it has deregistered.
	serveTime = 14 * time.Second
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 200 * time.Millisecond
)

// playForgotten lets a backend server leave by deregistering while the store is down, restarts its
// daemon, and delivers a heartbeat late. It checks that no request reaches the backend server then.
func playForgotten(s *stage, trouble bool) (bool, error) {
	charges := route{prefix: "/charges/", kind: "unsafe", service: "payments", timeout: 3 * time.Second, aim: 800 * time.Millisecond}
	if err := s.configure([]route{charges}); err != nil {
		return false, err
	}
	for range drainMachines {
		if _, err := s.add(charges.service); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	m := s.machines[0]
	var callers sync.WaitGroup
	callers.Go(func() { s.charge(charges.prefix+"capture", calmTime+serveTime) })
	time.Sleep(calmTime)
	down := time.Now()
	if trouble {
		s.store.SetFault(standin.Busy)
		s.record.note("the store is down")
	}
	late := m.server.stopBeating()
	if !m.server.deregister() {
		callers.Wait()
		return false, errors.New("the deregistration was not acknowledged")
	}
	ackedAt := time.Now()
	s.record.note("%s deregisters, which is acknowledged", m.server.id)
	m.signal(syscall.SIGTERM)
	s.record.note("%s gets SIGTERM", m.name)
	m.awaitEnd()
	s.record.note("%s has ended", m.name)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		return false, err
	}
	startedAt := time.Now()
	time.Sleep(time.Until(down.Add(outage)))
	s.store.SetFault(standin.None)
	backAt := time.Now()
	if trouble {
		s.record.note("the store is back")
	}
	for !m.isReady() {
		time.Sleep(pollPause)
	}
	s.record.note("a heartbeat of %s that was sent before it deregistered arrives, acknowledged %t", m.server.id, m.server.announce(late))
	inTouch := backAt
	if startedAt.After(inTouch) {
		inTouch = startedAt
	}
	inTouch = inTouch.Add(stableWindow)
	if bound := ackedAt.Add(drainBound); bound.After(inTouch) {
		inTouch = bound
	}
	callers.Wait()
	runs := m.server.runsSince(inTouch)
	s.record.note("DRAIN: %d requests reached %s later than %s after the acknowledgement, from machines in touch", runs, m.server.id, drainBound)
	return runs > 0, nil
}
