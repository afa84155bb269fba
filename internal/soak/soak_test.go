package soak_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/soak"
)

var (
	seed  = flag.Uint64("seed", 0, "seed of a long run; 0 runs the fixed seeds only")
	hours = flag.Float64("hours", 1, "virtual hours of the long run")
)

// errorLog prints broken invariants before they panic.
func errorLog() *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), zap.ErrorLevel))
}

func run(t *testing.T, seed uint64, span time.Duration) {
	t.Helper()
	fmt.Fprintf(os.Stderr, "soak: seed %d, %s of virtual time\n", seed, span)
	synctest.Test(t, func(t *testing.T) {
		s := &soak.Soak{Seed: seed, Span: span, Log: errorLog()}
		report := s.Run()
		t.Log(report)
		must.SliceEmpty(t, report.Breaches)
	})
}

// The fixed seeds of CI. A seed that once failed keeps the name of what it found.
func TestSoakSeeds(t *testing.T) {
	cases := []struct {
		name string
		seed uint64
		span time.Duration
	}{
		{name: "a GET that ran was refused as unrun after its retry", seed: 1, span: 12 * time.Minute},
		{name: "never failed", seed: 2, span: 12 * time.Minute},
		{name: "the fake network kept the slot of a lost answer", seed: 3, span: 12 * time.Minute},
		{name: "a paused announcement was sent after a drain", seed: 11, span: 28 * time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run(t, c.seed, c.span)
		})
	}
}

// A long run, by make soak SEED=.. HOURS=..
func TestSoakLong(t *testing.T) {
	if *seed == 0 {
		t.Skip("no seed given")
	}
	run(t, *seed, time.Duration(*hours*float64(time.Hour)))
}

// A seed fixes the schedule, and every event ends within the span.
func TestSchedule(t *testing.T) {
	const span = time.Hour
	events := soak.Schedule(5, span)
	must.Eq(t, events, soak.Schedule(5, span))
	must.NotEq(t, events, soak.Schedule(6, span))
	for _, e := range events {
		must.LessEq(t, span, e.At+e.Lasts)
	}
}
