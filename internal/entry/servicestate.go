package entry

import (
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/hedge"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/retrybudget"
	"balsamwharf.example/balsamwharf/internal/units"
)

// evictAfter is how long the state of an unused service is retained.
const evictAfter = 10 * time.Minute

// serviceStates holds the state of each service. The zero value is empty. Its methods may
// be called concurrently.
type serviceStates struct {
	mu   sync.Mutex
	byID map[ids.Service]*serviceState
}

// serviceState is the retry budget and the hedge delay of one service. Its methods may be
// called concurrently.
type serviceState struct {
	mu       sync.Mutex
	budget   retrybudget.Budget
	hedge    hedge.Estimator
	lastUsed units.Instant
}

// beginRequest adds a request to the service's retry budget and returns the state. share
// is the part of the requests that may be retried.
func (s *serviceStates) beginRequest(now units.Instant, id ids.Service, share units.Percent) *serviceState {
	state := s.get(id)
	state.mu.Lock()
	defer state.mu.Unlock()
	state.lastUsed = now
	state.budget.Deposit(now, share)
	return state
}

func (s *serviceStates) get(id ids.Service) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[ids.Service]*serviceState{}
	}
	state, ok := s.byID[id]
	if !ok {
		state = &serviceState{}
		s.byID[id] = state
	}
	return state
}

// evictUnused removes the state of services without requests for evictAfter.
func (s *serviceStates) evictUnused(now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, state := range s.byID {
		state.mu.Lock()
		if now.Sub(state.lastUsed) > evictAfter {
			delete(s.byID, id)
		}
		state.mu.Unlock()
	}
}

// tryWithdraw takes one retry or hedge from the service's budget, or returns false when it
// is exhausted.
func (s *serviceState) tryWithdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryWithdraw()
}

// recordLatency records the time from sending the request to the head of the answer.
func (s *serviceState) recordLatency(now units.Instant, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedge.Record(now, took)
}

// hedgeDelay returns the time after which a request is hedged; false means not to hedge.
func (s *serviceState) hedgeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedge.Delay()
}
