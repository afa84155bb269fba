package main

import (
	"errors"
	"sync"
	"time"
)

const (
	drainMachines = 4
	// drainBound is for how long requests may reach a target after it was acknowledged that it leaves,
	// and leaveTime for how long the target goes on serving, which takes "at times many seconds".
	drainBound = 2 * time.Second
	leaveTime  = 8 * time.Second
	// ackTime is how long a leaving target waits for an acknowledgement.
	ackTime = 6 * time.Second
	// calmTime is how long callers send requests before the target leaves.
	calmTime = 3 * time.Second
	// oddSeq is the largest whole number that every JSON reader takes.
	oddSeq = 1<<53 - 1
)

// playDrain lets a backend server leave, right after another writer has sent one odd heartbeat, and
// checks that no request reaches it later than drainBound after the acknowledgement.
func playDrain(s *stage, trouble bool) (bool, error) {
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
	var callers sync.WaitGroup
	callers.Go(func() { s.charge(charges.prefix+"capture", calmTime+leaveTime+ackTime) })
	time.Sleep(calmTime)
	leaving := s.machines[0].server
	if trouble {
		// It lacks the version, the zone and the warm-up, and has a number that is too large.
		acked := leaving.announce(beat{seq: oddSeq, state: "ready", odd: true})
		s.record.note("another writer sends an odd heartbeat of %s, acknowledged %t", leaving.id, acked)
	}
	leaving.leave()
	ackedAt, ok := leaving.awaitLeaveAcknowledged(ackTime)
	if !ok {
		callers.Wait()
		return false, errors.New("the leaving target got no acknowledgement")
	}
	time.Sleep(leaveTime)
	late := leaving.runsSince(ackedAt.Add(drainBound))
	callers.Wait()
	s.record.note("DRAIN: %d requests reached %s later than %s after the acknowledgement", late, leaving.id, drainBound)
	return late > 0, nil
}
