package linelog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/linelog"
	"balsamwharf.example/balsamwharf/internal/timer"
)

// stalledWriter blocks until it is released, like a standard output that nobody reads.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Logging must not block when standard output does.
func TestStalledOutput(t *testing.T) {
	out := stalledWriter{release: make(chan struct{})}
	sink := &linelog.Sink{To: out}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sink.Run(ctx)
	}()
	start := time.Now()
	for range 10000 {
		_, err := sink.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(start))
	cancel()
	close(out.release)
	<-done
}

// newLogger returns a logger that is limited to 300 lines a second, and its output.
func newLogger() (*zap.Logger, *bytes.Buffer) {
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, zapcore.AddSync(&out), zap.InfoLevel)
	return zap.New(linelog.New(core, &timer.Timer{}, 300)), &out
}

func writeLines(log *zap.Logger, n int, e event.Event, fields ...zap.Field) {
	c := common.Common{Log: log}
	for range n {
		c.Info(e, fields...)
	}
}

// Above the rate limit, lines of requests served without incident are dropped before
// others, and the number of dropped lines is reported.
func TestBound(t *testing.T) {
	log, out := newLogger()
	writeLines(log, 2000, event.RequestServed, zap.Int("sent", 1))
	writeLines(log, 2000, event.RequestForwarded, zap.String("how", "answered"))
	served := strings.Count(out.String(), event.RequestServed.Text()) + strings.Count(out.String(), event.RequestForwarded.Text())
	must.Between(t, 200, served, 500)
	writeLines(log, 100, event.RequestEnded)
	must.EqOp(t, 100, strings.Count(out.String(), event.RequestEnded.Text()))
	must.EqOp(t, 1, strings.Count(out.String(), event.LinesDropped.Text()))
}

// However many lines there are, the first of each cause and those on the state of the
// process are written.
func TestNeverLeftOut(t *testing.T) {
	cases := []struct {
		name   string
		event  event.Event
		fields []zap.Field
	}{
		{name: "other reason", event: event.RequestEnded, fields: []zap.Field{zap.String("reason", "no target is left")}},
		{name: "other status", event: event.RequestEnded, fields: []zap.Field{zap.String("reason", "late"), zap.Int("status", 504)}},
		{name: "other event", event: event.AttemptFailed, fields: []zap.Field{zap.String("how", "lost")}},
		{name: "repeat", event: event.RequestForwarded, fields: []zap.Field{zap.String("how", "answered"), zap.Bool("repeat", true)}},
		{name: "served at the second attempt", event: event.RequestServed, fields: []zap.Field{zap.Int("sent", 2)}},
		{name: "belief", event: event.BreakerOpened},
		{name: "broken promise", event: event.InvariantViolated},
	}
	log, out := newLogger()
	writeLines(log, 3000, event.RequestEnded, zap.String("reason", "late"))
	must.Less(t, 900, strings.Count(out.String(), event.RequestEnded.Text()))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := strings.Count(out.String(), c.event.Text())
			writeLines(log, 1, c.event, c.fields...)
			must.EqOp(t, before+1, strings.Count(out.String(), c.event.Text()))
		})
	}
}

// A daemon's shutdown must not block on a standard output that nobody reads.
func TestFlushIsBounded(t *testing.T) {
	out := stalledWriter{release: make(chan struct{})}
	defer close(out.release)
	log, flush := linelog.Open(out, zap.InfoLevel, 300)
	writeLines(log, 10, event.RequestEnded)
	start := time.Now()
	flush()
	must.Less(t, 5*time.Second, time.Since(start))
}
