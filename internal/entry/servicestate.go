package entry

import (
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/hedge"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/retrybudget"
	"balsamwharf.example/balsamwharf/internal/units"
)

// forgetTime is how long an unused service is remembered.
const evictAfter = 10 * time.Minute

// services is what the entry remembers of each service. The zero value is empty.
type serviceStates struct {
	mu   sync.Mutex
	byID map[ids.Service]*serviceState
}

// memory is what the entry remembers of one service.
type serviceState struct {
	mu       sync.Mutex
	budget   retrybudget.Budget
	hedge    hedge.Estimator
	lastUsed units.Instant
}

// begin notes a request and returns the service's memory.
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

// spend takes one retry of the service's budget.
func (s *serviceState) tryWithdraw() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryWithdraw()
}

// note records the time until an answer began.
func (s *serviceState) recordLatency(now units.Instant, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedge.Record(now, took)
}

// late returns the time after which a request is hedged.
func (s *serviceState) hedgeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedge.Delay()
}
