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
const forgetTime = 10 * time.Minute

// services is what the entry remembers of each service. The zero value is empty.
type services struct {
	mu   sync.Mutex
	byID map[ids.Service]*memory
}

// memory is what the entry remembers of one service.
type memory struct {
	mu     sync.Mutex
	budget retrybudget.Budget
	hedge  hedge.Estimator
	used   units.Instant
}

// begin notes a request and returns the service's memory.
func (s *services) begin(now units.Instant, id ids.Service, share units.Percent) *memory {
	m := s.get(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used = now
	m.budget.Deposit(now, share)
	return m
}

func (s *services) get(id ids.Service) *memory {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[ids.Service]*memory{}
	}
	m, ok := s.byID[id]
	if !ok {
		m = &memory{}
		s.byID[id] = m
	}
	return m
}

func (s *services) forget(now units.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.byID {
		m.mu.Lock()
		if now.Sub(m.used) > forgetTime {
			delete(s.byID, id)
		}
		m.mu.Unlock()
	}
}

// spend takes one retry of the service's budget.
func (m *memory) spend() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.TryWithdraw()
}

// note records the time until an answer began.
func (m *memory) note(now units.Instant, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hedge.Record(now, took)
}

// late returns the time after which a request is hedged.
func (m *memory) late() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hedge.Delay()
}
