package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// refusedMachines is such that one failing backend server is a share of 0.125, and failShare
	// and failTime are how much and how long it fails.
	refusedMachines = 8
	failShare       = 0.6
	failTime        = 6 * time.Second
	// chargePause is the pause of one caller between two requests.
	chargePause = 60 * time.Millisecond
)

// playRefused lets one backend server fail a part of the requests that it runs with a status of
// its own, and checks that no caller is told that such a request did not run.
func playRefused(s *stage, trouble bool) (bool, error) {
	charges := route{prefix: "/charges/", kind: "unsafe", service: "payments", timeout: 3 * time.Second, aim: 800 * time.Millisecond}
	if err := s.configure([]route{charges}); err != nil {
		return false, err
	}
	for range refusedMachines {
		if _, err := s.add(charges.service); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	if trouble {
		s.machines[0].server.setFails(func() int {
			if rand.Float64() < failShare {
				return http.StatusServiceUnavailable
			}
			return 0
		})
		s.record.note("%s begins to fail a part of the requests that it runs", s.machines[0].server.id)
	}
	answers := s.charge(charges.prefix+"capture", failTime)
	wrong, served := 0, 0
	for _, a := range answers {
		runs := s.timesRun(a.id)
		if a.status == http.StatusOK {
			served++
		}
		if runs > 0 && isPromise(a.status) {
			wrong++
			s.record.note("REFUSED: %s was answered %d and ran %d times", a.id, a.status, runs)
		}
	}
	s.record.note("%d requests, %d served, %d refused although they ran", len(answers), served, wrong)
	s.record.note("%d deposits were captured twice, since their callers took the refusal as a promise", s.capturedTwice())
	return wrong > 0, nil
}

// isPromise reports whether a status says that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// capturedTwice returns how many deposits ran more than once.
func (s *stage) capturedTwice() int {
	twice := 0
	for n := range s.deposits.Load() {
		runs := 0
		for _, m := range s.machines {
			runs += m.server.timesOrdered(deposit(n + 1))
		}
		if runs > 1 {
			twice++
		}
	}
	return twice
}

func deposit(n int64) string { return fmt.Sprintf("deposit %d", n) }

// charge sends requests from one caller at each machine for a time and returns their answers. As the
// platform's pages say of callers, a deposit is sent once more after a promise that it did not run.
func (s *stage) charge(path string, during time.Duration) []answer {
	var mu sync.Mutex
	var all []answer
	var callers sync.WaitGroup
	until := time.Now().Add(during)
	for _, m := range s.machines {
		callers.Go(func() {
			for time.Now().Before(until) {
				body := deposit(s.deposits.Add(1))
				attempts := []answer{m.call(http.MethodPost, path, body)}
				if isPromise(attempts[0].status) {
					time.Sleep(attempts[0].retryAfter)
					attempts = append(attempts, m.call(http.MethodPost, path, body))
				}
				mu.Lock()
				all = append(all, attempts...)
				mu.Unlock()
				time.Sleep(chargePause)
			}
		})
	}
	callers.Wait()
	return all
}
