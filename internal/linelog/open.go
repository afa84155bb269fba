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

// flushTimeout is how long the end of the daemon waits for standard output: less than the
// rest of the grace that its services leave.
const flushTimeout = 300 * time.Millisecond

// Open returns a daemon's logger, which writes JSON lines, and what writes the lines that
// still wait when the daemon ends.
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
		timeout, cancel := clock.Within(context.Background(), flushTimeout)
		defer cancel()
		select {
		case <-flushed:
		case <-timeout.Done():
		}
	}
}
