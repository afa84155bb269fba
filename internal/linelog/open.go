package linelog

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
)

// flushTimeout bounds the final flush to standard output. It is less than what the
// services leave of the daemon's shutdown grace period.
const flushTimeout = 300 * time.Millisecond

// Open returns a logger that writes JSON lines, at most the given number a second, and a
// function that flushes the queued lines. The daemon calls it once when it ends; it blocks
// for flushTimeout at most.
func Open(to io.Writer, level zapcore.LevelEnabler, lines units.Rate) (*zap.Logger, func()) {
	sink := &Sink{To: to}
	ctx, stop := context.WithCancel(context.Background())
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		sink.Run(ctx)
	}()
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	clock := &timer.Timer{}
	core := New(zapcore.NewCore(encoder, sink, level), clock, lines)
	return zap.New(core), func() {
		stop()
		timeout, cancel := clock.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		select {
		case <-flushed:
		case <-timeout.Done():
		}
	}
}
