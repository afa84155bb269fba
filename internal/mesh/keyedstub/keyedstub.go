// Package keyedstub is an in-memory store for tests that need no sockets.
//
// # Usage
//
//	store := &keyedstub.Stub{}
//	store.SetUnavailable(true) // every call fails until SetUnavailable(false)
//
// The zero Stub is an empty store. It works in virtual time.
package keyedstub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
)

// ErrUnavailable is returned by every call while the store is unavailable.
var ErrUnavailable = errorx.ExternalError.New("the store is unavailable")

// Stub is an in-memory store. It implements keyed.Store.
type Stub struct {
	mu          sync.Mutex
	records     []keyed.Record
	topics      map[keyed.Topic][]keyed.Record
	unavailable bool
	calls       int
	changed     chan struct{}
	era         ids.Era
}

// Rollback makes the store come back from a copy that lacks the last n records of each topic.
func (s *Stub) Rollback(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, records := range s.topics {
		s.topics[t] = slices.Clone(records[:max(len(records)-n, 0)])
	}
	s.era++
	s.wakeReaders()
}

// SetUnavailable makes every call fail until it is set to false.
func (s *Stub) SetUnavailable(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = away
	s.wakeReaders()
}

// Records returns the records of all topics in the order in which they were written.
func (s *Stub) Records() []keyed.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Calls returns how many calls were made.
func (s *Stub) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Stub) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// Newest implements keyed.Store. It also returns older records, which readers must ignore
// anyway.
func (s *Stub) Newest(ctx context.Context, t keyed.Topic) (keyed.Page, error) {
	return s.Read(ctx, t, 0, 0)
}

// Read implements keyed.Store.
func (s *Stub) Read(ctx context.Context, t keyed.Topic, from ids.Offset, wait time.Duration) (keyed.Page, error) {
	s.countCall()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, changed, err := s.page(t, from)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return keyed.Page{}, ctx.Err()
		}
	}
}

func (s *Stub) page(t keyed.Topic, from ids.Offset) (keyed.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return keyed.Page{}, nil, ErrUnavailable
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	records := s.topics[t]
	end := ids.Offset(len(records))
	if from > end {
		return keyed.Page{}, nil, keyed.ErrExpired
	}
	return keyed.Page{Records: slices.Clone(records[from:]), End: end, Era: s.era}, s.changed, nil
}

// Put implements keyed.Store.
func (s *Stub) Put(_ context.Context, t keyed.Topic, r keyed.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return ErrUnavailable
	}
	if s.topics == nil {
		s.topics = map[keyed.Topic][]keyed.Record{}
	}
	s.records, s.topics[t] = append(s.records, r), append(s.topics[t], r)
	s.wakeReaders()
	return nil
}

func (s *Stub) wakeReaders() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
