package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// killPause is the time from the start of a daemon until it is killed again, and restartDelay how
	// long the platform takes to start it.
	killPause    = 2500 * time.Millisecond
	restartDelay = 200 * time.Millisecond
	// stableWindow is for how long a process must have run until the bound holds.
	stableWindow = 3 * time.Second
	// serveTime is for how long the target serves after it has deregistered.
	serveTime = 14 * time.Second
)

// playOverwritten lets a backend server leave by deregistering, kills its daemon twice, and delivers
// a heartbeat late. It checks that no request reaches the backend server then.
func playOverwritten(s *stage, trouble bool) (bool, error) {
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
	late := m.server.stopBeating()
	if !m.server.deregister() {
		callers.Wait()
		return false, errors.New("the deregistration was not acknowledged")
	}
	ackedAt := time.Now()
	s.record.note("%s deregisters, which is acknowledged", m.server.id)
	inTouch := ackedAt.Add(drainBound)
	for n := range 2 {
		if n > 0 {
			time.Sleep(killPause)
		}
		if !trouble {
			continue
		}
		m.signal(syscall.SIGKILL)
		m.awaitEnd()
		s.record.note("%s was killed", m.name)
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(stableWindow)
	}
	for !m.isReady() {
		time.Sleep(pollPause)
	}
	s.record.note("a heartbeat of %s that was sent before it deregistered arrives, acknowledged %t", m.server.id, m.server.announce(late))
	callers.Wait()
	runs := m.server.runsSince(inTouch)
	s.record.note("DRAIN: %d requests reached %s later than %s after the acknowledgement, from machines in touch", runs, m.server.id, drainBound)
	return runs > 0, nil
}
