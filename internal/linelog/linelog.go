// Package linelog writes log lines without ever blocking the writer.
//
// # Usage
//
//	logger, flush := linelog.Open(os.Stdout, level, 300)
//	defer flush()
//
// Lines beyond the bound are left out and counted: first those of requests that were
// served without incident, then repeats of the same cause. What the process believes and
// the first line of each cause in a second are always written.
package linelog

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// burstTime is how many seconds' lines may come at once, as when an outage begins.
	burstTime = 2
	// othersShare is the part of the burst that ordinary lines leave to all others.
	othersShare = 0.5
	// tellPause lies between two lines that tell how many were left out, and between two
	// lines of one cause that are written whatever the volume.
	tellPause = time.Second
	// mostCauses bounds the memory for causes; there are some dozens.
	mostCauses = 256
)

// Core passes lines on within the bound.
type Core struct {
	zapcore.Core
	bound *bound
}

type bound struct {
	clock *timer.Timer
	mu    sync.Mutex
	left  bucket.Bucket
	// told holds the causes that were told since the instant.
	told      map[cause]bool
	toldSince units.Instant
	// cut counts the lines left out since that was last told.
	cut     int
	cutTold units.Instant
}

// New bounds what a core writes to a number of lines a second.
func New(c zapcore.Core, clock *timer.Timer, lines units.Rate) *Core {
	burst := units.Tokens(burstTime*lines) * units.Token
	b := &bound{clock: clock, left: bucket.Bucket{Rate: lines, Burst: burst}, told: map[cause]bool{}}
	b.left.SetBalance(clock.Now(), burst)
	return &Core{Core: c, bound: b}
}

// With implements zapcore.Core.
func (c *Core) With(fields []zap.Field) zapcore.Core {
	return &Core{Core: c.Core.With(fields), bound: c.bound}
}

// Check implements zapcore.Core.
func (c *Core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c *Core) Write(e zapcore.Entry, fields []zap.Field) error {
	cut, ok := c.bound.take(causeOf(fields))
	if !ok {
		return nil
	}
	if cut > 0 {
		left := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: event.LinesLeftOut.Text()}
		if err := c.Core.Write(left, []zap.Field{event.LinesLeftOut.Field(), zap.Int("lines", cut)}); err != nil {
			return err
		}
	}
	return c.Core.Write(e, fields)
}

// take allows one line and returns how many were left out before it.
func (b *bound) take(c cause) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.fits(c, now) {
		b.cut++
		return 0, false
	}
	if b.cut == 0 || (b.cutTold > 0 && now.Sub(b.cutTold) < tellPause) {
		return 0, true
	}
	cut := b.cut
	b.cut, b.cutTold = 0, now
	return cut, true
}

// fits reports whether a line may be written. The caller holds the lock.
func (b *bound) fits(c cause, now units.Instant) bool {
	switch {
	case c.ordinary:
		kept := units.Tokens(othersShare * float64(b.left.Burst))
		return b.left.Balance(now) >= kept && b.left.Consume(now, units.Token)
	case c.event.Subject() != event.Request || b.first(c, now):
		// Such lines are few; they may exceed the bound a little.
		_ = b.left.Consume(now, units.Token)
		return true
	}
	return b.left.Consume(now, units.Token)
}

// first reports whether the cause was not told within the last while. The caller holds
// the lock.
func (b *bound) first(c cause, now units.Instant) bool {
	if now.Sub(b.toldSince) >= tellPause {
		clear(b.told)
		b.toldSince = now
	}
	if b.told[c] || len(b.told) >= mostCauses {
		return false
	}
	b.told[c] = true
	return true
}
