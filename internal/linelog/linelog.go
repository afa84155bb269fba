// Package linelog limits the rate of log lines and writes them without blocking the
// caller.
//
// # Usage
//
//	logger, flush := linelog.Open(os.Stdout, level, 300)
//	defer flush()
//
// Lines above the rate limit are dropped and counted: first those of requests that were
// served without incident, then repeats of the same cause. Lines on the state of the
// process and the first line of each cause in a second are always admitted.
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
	// burstSeconds is the size of the burst in seconds of the rate limit; an outage
	// begins with a burst of lines.
	burstSeconds = 2
	// reservedShare is the part of the burst that ordinary lines leave to all others.
	reservedShare = 0.5
	// reportInterval is the least time between two reports of dropped lines, and between
	// two lines of one cause that are admitted above the rate limit.
	reportInterval = time.Second
	// maxCauses bounds the memory for causes; there are some dozens.
	maxCauses = 256
)

// Core is a zapcore.Core that drops the lines above a rate limit. It is safe for
// concurrent use.
type Core struct {
	zapcore.Core
	limiter *limiter
}

// limiter is shared by all cores that With derives from one Core.
type limiter struct {
	clock  *timer.Timer
	mu     sync.Mutex
	tokens bucket.Bucket
	// logged holds the causes with a line since loggedSince.
	logged      map[cause]bool
	loggedSince units.Instant
	// dropped counts the lines dropped since droppedReportedAt.
	dropped           int
	droppedReportedAt units.Instant
}

// New limits what a core writes to a number of lines a second.
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

// Write implements zapcore.Core. Before the line it reports how many lines were dropped,
// if any.
func (c *Core) Write(e zapcore.Entry, fields []zap.Field) error {
	dropped, ok := c.limiter.admit(causeOf(fields))
	if !ok {
		return nil
	}
	if dropped > 0 {
		notice := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: event.LinesDropped.Text()}
		if err := c.Core.Write(notice, []zap.Field{event.LinesDropped.Field(), zap.Int("lines", dropped)}); err != nil {
			return err
		}
	}
	return c.Core.Write(e, fields)
}

// admit reports whether a line may be written, and how many dropped lines are to be
// reported before it. It counts the line as dropped if not.
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

// allow reports whether a line may be written and takes its token. The caller holds the
// lock.
func (l *limiter) allow(c cause, now units.Instant) bool {
	switch {
	case c.ordinary:
		reserved := units.Tokens(reservedShare * float64(l.tokens.Burst))
		return l.tokens.Balance(now) >= reserved && l.tokens.Consume(now, units.Token)
	case c.event.Subject() != event.Request || l.firstOfCause(c, now):
		// Such lines are few; they may exceed the rate limit a little.
		_ = l.tokens.Consume(now, units.Token)
		return true
	}
	return l.tokens.Consume(now, units.Token)
}

// firstOfCause reports whether a line is the first of its cause within reportInterval,
// and records the cause. It returns false once maxCauses are recorded. The caller holds
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
