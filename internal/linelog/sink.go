package linelog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"balsamwharf.example/balsamwharf/internal/event"
)

// queueLines is how many lines are queued for a slow standard output: about the most that
// a daemon writes in six seconds.
const queueLines = 2000

// Sink queues lines for a writer that may stall. It drops and counts the lines that find
// the queue full.
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

// Write implements io.Writer. It never blocks and returns no error.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.queue() <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing; Run writes what is queued.
func (s *Sink) Sync() error { return nil }

// Run writes queued lines until the context ends, and then those still in the queue. It
// blocks while the writer does.
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

// write writes a line, after a report of the lines dropped before it. Errors are ignored:
// when standard output fails, there is nowhere to report it.
func (s *Sink) write(line []byte) {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(s.To, "{\"level\":\"warn\",\"event\":%d,\"msg\":%q,\"lines\":%d}\n", int(event.LinesDropped), event.LinesDropped.Text(), dropped)
	}
	_, _ = s.To.Write(line)
}
