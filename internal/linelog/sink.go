package linelog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"balsamwharf.example/balsamwharf/internal/event"
)

// queueLines is how many lines wait for a slow standard output: about what a daemon writes
// in six seconds at most.
const queueLines = 2000

// Sink queues lines for a writer that may stall.
type Sink struct {
	To io.Writer

	once    sync.Once
	lines   chan []byte
	dropped atomic.Int64
}

func (s *Sink) queue() chan []byte {
	s.once.Do(func() { s.lines = make(chan []byte, queueLines) })
	return s.lines
}

// Write implements io.Writer. It never waits.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.queue() <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Run writes the queued lines until the context ends, and then those that are left.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.queue():
			s.write(line)
		case <-ctx.Done():
			s.drain()
			return
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue():
			s.write(line)
		default:
			return
		}
	}
}

// write passes a line on. There is nowhere to report that standard output failed.
func (s *Sink) write(line []byte) {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(s.To, "{\"level\":\"warn\",\"event\":%d,\"msg\":%q,\"lines\":%d}\n", int(event.LinesLeftOut), event.LinesLeftOut.Text(), dropped)
	}
	_, _ = s.To.Write(line)
}
