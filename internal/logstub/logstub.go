// Package logstub stands in for the platform's append-only log in tests and in the demo.
//
// # Usage
//
//	stub := &logstub.Stub{}
//	stub.SetAway(true) // every call fails until SetAway(false)
//
// The zero Stub is an empty log. It implements platformlog.Log, for tests that run in
// virtual time without sockets; platform/standin serves it to clients of the store.
package logstub

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/platformlog"
)

// ErrAway is what callers get while the log is away.
var ErrAway = platformlog.NotAppended.New("log service is away")

// Stub is an append-only log in memory with switchable faults.
type Stub struct {
	mu      sync.Mutex
	streams map[platformlog.Stream]*stream
	away    bool
	slow    time.Duration
	lose    int
	drop    int
	appends int
	reads   int
}

// stream is one stream; the record with offset first is items[0].
type stream struct {
	first ids.Offset
	items []platformlog.Item
	grown chan struct{}
}

// SetAway makes every call fail until it is set to false.
func (s *Stub) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	if away {
		for _, st := range s.streams {
			st.wake()
		}
	}
}

// Away reports whether every call fails.
func (s *Stub) Away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// SetSlow delays every append.
func (s *Stub) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// LoseReplies makes the next n appends take effect and fail.
func (s *Stub) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// DropAppends makes the next n appends fail without effect, in a way that the
// caller can't tell from a lost reply.
func (s *Stub) DropAppends(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop = n
}

// Expire drops all but the newest keep records of a stream.
func (s *Stub) Expire(name platformlog.Stream, keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	if drop := len(st.items) - keep; drop > 0 {
		st.items = append([]platformlog.Item(nil), st.items[drop:]...)
		st.first += ids.Offset(drop)
	}
}

// Appends returns how many appends took effect.
func (s *Stub) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Reads returns how many reads were asked for.
func (s *Stub) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Append implements platformlog.Log.
func (s *Stub) Append(ctx context.Context, name platformlog.Stream, data []byte) (ids.Offset, error) {
	if err := s.delay(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, ErrAway
	}
	if s.drop > 0 {
		s.drop--
		return 0, errorx.ExternalError.New("append was dropped")
	}
	st := s.stream(name)
	at := st.first + ids.Offset(len(st.items))
	st.items = append(st.items, platformlog.Item{At: at, Data: append([]byte(nil), data...)})
	st.wake()
	s.appends++
	if s.lose > 0 {
		s.lose--
		return 0, errorx.ExternalError.New("reply of the log service was lost")
	}
	return at, nil
}

func (s *Stub) delay(ctx context.Context) error {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements platformlog.Log.
func (s *Stub) Read(ctx context.Context, name platformlog.Stream, from ids.Offset, limit int, wait time.Duration) (platformlog.Page, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		page, grown, err := s.page(name, from, limit)
		if err != nil || len(page.Items) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *Stub) page(name platformlog.Stream, from ids.Offset, limit int) (platformlog.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return platformlog.Page{}, nil, ErrAway
	}
	st := s.stream(name)
	page := platformlog.Page{First: st.first, Last: st.first + ids.Offset(len(st.items)) - 1}
	start := 0
	if from > st.first {
		start = min(int(from-st.first), len(st.items))
	}
	end := min(start+limit, len(st.items))
	page.Items = append(page.Items, st.items[start:end]...)
	return page, st.grown, nil
}

func (s *Stub) stream(name platformlog.Stream) *stream {
	if s.streams == nil {
		s.streams = map[platformlog.Stream]*stream{}
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) wake() {
	close(st.grown)
	st.grown = make(chan struct{})
}
