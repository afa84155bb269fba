// Package stage runs small fleets for the cases of this review: it starts the daemons of the
// deploy file as processes, and stands in for the platform's store, backend servers and callers.
//
// # Usage
//
//	s := stage.Open("review/1")
//	defer s.Close()
//	vm := s.AddVM("vm1", "zone-a", "quotes")
//	s.Publish(document)
//	vm.Boot()
//	answer := vm.Send(stage.Call{Method: "GET", Target: "/quotes/1", ID: "a1", Key: "key-a"})
package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that lists what was sent, answered and run. Lines begin with the seconds
// since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// openRecord creates the file.
func openRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Line writes one line.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", r.Now().Seconds(), fmt.Sprintf(format, values...))
}

// close writes what is buffered and closes the file.
func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
