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
	burstSeconds = 2
	// othersShare is the part of the burst that ordinary lines leave to all others.
	reservedShare = 0.5
	// tellPause lies between two lines that tell how many were left out, and between two
	// lines of one cause that are written whatever the volume.
	reportInterval = time.Second
	// mostCauses bounds the memory for causes; there are some dozens.
	maxCauses = 256
)

// Core passes lines on within the bound.
type Core struct {
	zapcore.Core
	limiter *limiter
}

type limiter struct {
	clock  *timer.Timer
	mu     sync.Mutex
	tokens bucket.Bucket
	// told holds the causes that were told since the instant.
	logged      map[cause]bool
	loggedSince units.Instant
	// cut counts the lines left out since that was last told.
	dropped           int
	droppedReportedAt units.Instant
}

// New bounds what a core writes to a number of lines a second.
func New(c zapcore.Core, clock *timer.Timer, lines units.Rate) *Core {
	burst := units.Tokens(burstSeconds*lines) * units.Token
	l := &limiter{clock: clock, tokens: bucket.Bucket{Rate: lines, Burst: burst}, logged: map[cause]bool{}}
	l.tokens.SetBalance(clock.Now(), burst)
	return &Core{Core: c, limiter: l}
}

// With implements zapcore.Core.
func (c *Core) With(fields []zap.Field) zapcore.Core {
	return &Core{Core: c.Core.With(fields), limiter: c.limiter}
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
	dropped, ok := c.limiter.admit(causeOf(fields))
	if !ok {
		return nil
	}
	if dropped > 0 {
		notice := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: event.LinesLeftOut.Text()}
		if err := c.Core.Write(notice, []zap.Field{event.LinesLeftOut.Field(), zap.Int("lines", dropped)}); err != nil {
			return err
		}
	}
	return c.Core.Write(e, fields)
}

// take allows one line and returns how many were left out before it.
func (l *limiter) admit(c cause) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if !l.allow(c, now) {
		l.dropped++
		return 0, false
	}
	if l.dropped == 0 || (l.droppedReportedAt > 0 && now.Sub(l.droppedReportedAt) < reportInterval) {
		return 0, true
	}
	dropped := l.dropped
	l.dropped, l.droppedReportedAt = 0, now
	return dropped, true
}

// fits reports whether a line may be written. The caller holds the lock.
func (l *limiter) allow(c cause, now units.Instant) bool {
	switch {
	case c.ordinary:
		reserved := units.Tokens(reservedShare * float64(l.tokens.Burst))
		return l.tokens.Balance(now) >= reserved && l.tokens.Consume(now, units.Token)
	case c.event.Subject() != event.Request || l.firstOfCause(c, now):
		// Such lines are few; they may exceed the bound a little.
		_ = l.tokens.Consume(now, units.Token)
		return true
	}
	return l.tokens.Consume(now, units.Token)
}

// first reports whether the cause was not told within the last while. The caller holds
// the lock.
func (l *limiter) firstOfCause(c cause, now units.Instant) bool {
	if now.Sub(l.loggedSince) >= reportInterval {
		clear(l.logged)
		l.loggedSince = now
	}
	if l.logged[c] || len(l.logged) >= maxCauses {
		return false
	}
	l.logged[c] = true
	return true
}
