// Package standin is a backend server for tests and for the demo, with faults
// that can be switched while it runs.
//
// # Usage
//
//	s := &standin.Standin{ID: "payments-1", Work: 20 * time.Millisecond}
//	server := httptest.NewServer(s)
//	s.Set(standin.Slow{Factor: 5})
//
// It counts how often each request ran, by the caller's Request header, so that
// a test can tell whether a request ran twice.
package standin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// RequestHeader names the request in the stand-in's counts.
const RequestHeader = "Request"

// Standin is one backend server.
type Standin struct {
	ID ids.Target
	// Work is the typical time of a request.
	Work time.Duration

	mu    sync.Mutex
	fault Fault
	since time.Time
	runs  map[string]int
	keys  int
	total int
}

// Set switches the fault.
func (s *Standin) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.since = time.Now()
}

// Runs returns how often the named request ran.
func (s *Standin) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// Twice returns the names of all requests that ran more than once.
func (s *Standin) Twice() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, n := range s.runs {
		if n > 1 {
			names = append(names, name)
		}
	}
	return names
}

// Names returns all requests that ran.
func (s *Standin) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.runs))
	for name := range s.runs {
		names = append(names, name)
	}
	return names
}

// Total returns how many requests ran.
func (s *Standin) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// KeysSeen returns how many requests carried an Authorization header.
func (s *Standin) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

// ServeHTTP answers one request as the current fault has it.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, since := s.note(r)
	work := s.work()
	switch f := fault.(type) {
	case Errs:
		if rand.Float64() < f.Share {
			http.Error(w, "stand-in error", http.StatusInternalServerError)
			return
		}
	case Slow:
		work = time.Duration(float64(work) * f.Factor)
	case Hangs:
		// net/http notices that the caller went away only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case Holds:
		f.Arrived <- r.Header.Get(RequestHeader)
		<-f.Release
	case Cuts:
		cut(w)
		return
	case WrongFor:
		if strings.HasPrefix(r.URL.Path, f.Prefix) {
			http.Error(w, "stand-in error", http.StatusInternalServerError)
			return
		}
	case Flaps:
		if int(time.Since(since)/f.Period)%2 == 0 {
			http.Error(w, "stand-in error", http.StatusInternalServerError)
			return
		}
	case Refuses:
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, work)
}

// note counts the request and returns the fault in force.
func (s *Standin) note(r *http.Request) (Fault, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if name := r.Header.Get(RequestHeader); name != "" {
		if s.runs == nil {
			s.runs = map[string]int{}
		}
		s.runs[name]++
	}
	if r.Header.Get("Authorization") != "" {
		s.keys++
	}
	return s.fault, s.since
}

// work draws a time around the typical one.
func (s *Standin) work() time.Duration {
	return time.Duration(float64(s.Work) * (0.5 + rand.ExpFloat64()/2))
}

// answer works for a while and echoes the body, or names itself.
func (s *Standin) answer(w http.ResponseWriter, r *http.Request, work time.Duration) {
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Target", string(s.ID))
	w.Header().Set("Request-Target", r.RequestURI)
	if r.ContentLength == 0 {
		_, _ = io.WriteString(w, "answer of "+string(s.ID)+" to "+r.Header.Get(RequestHeader))
		return
	}
	if r.ContentLength > 0 {
		w.Header().Set("Content-Length", r.Header.Get("Content-Length"))
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

// cut announces more bytes than it sends.
func cut(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, strings.Repeat("x", 500))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
