// Package timer is the only package that reads the clock. Services read the time
// through a Timer or subscribe to periodic ticks.
//
// # Usage
//
//	sub := tm.Every(time.Second)
//	defer sub.Stop()
//	for {
//		select {
//		case now := <-sub.C:
//			step(now)
//		case <-ctx.Done():
//			return
//		}
//	}
//
// The zero Timer is ready for use. Decision code takes units.Instant values as
// arguments and never calls the timer itself.
package timer

import (
	"context"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Timer reads the monotonic clock and sends periodic ticks to its subscribers.
type Timer struct {
	once  sync.Once
	start time.Time
}

// Subscription delivers ticks on C until it is stopped. C buffers one tick; a
// subscriber that falls behind misses later ones.
type Subscription struct {
	C    <-chan units.Instant
	stop context.CancelFunc
}

// Stop ends the subscription. It doesn't close C.
func (s *Subscription) Stop() { s.stop() }

// Name implements service.Service.
func (t *Timer) Name() service.Name { return "timer" }

// Needs implements service.Service.
func (t *Timer) Needs() []service.Name { return nil }

// Start implements service.Service.
func (t *Timer) Start(context.Context, service.Finder) error {
	t.Now()
	return nil
}

// Stop implements service.Service.
func (t *Timer) Stop(context.Context) error { return nil }

// Now returns the monotonic time since the timer was first used.
func (t *Timer) Now() units.Instant {
	t.once.Do(func() { t.start = time.Now() })
	return units.Instant(time.Since(t.start))
}

// Wall returns the wall-clock time, for use in logs, reports and certificates only.
func (t *Timer) Wall() time.Time { return time.Now() }

// Every returns a subscription that delivers the current instant once per period.
// The caller must stop it.
func (t *Timer) Every(period time.Duration) *Subscription {
	c := make(chan units.Instant, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go t.tick(ctx, period, c)
	return &Subscription{C: c, stop: cancel}
}

func (t *Timer) tick(ctx context.Context, period time.Duration, c chan<- units.Instant) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			select {
			case c <- t.Now():
			default:
			}
		case <-ctx.Done():
			return
		}
	}
}

// Sleep blocks for d. It returns the context's error when the context ends first.
func (t *Timer) Sleep(ctx context.Context, d time.Duration) error {
	expiry := time.NewTimer(d)
	defer expiry.Stop()
	select {
	case <-expiry.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a copy of ctx with a timeout of d.
func (t *Timer) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// Remaining returns the time until the context's deadline, and false when it has none.
func (t *Timer) Remaining(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, false
	}
	return time.Until(deadline), true
}
