// Package timer is the only reader of the clock. Other parts subscribe to it.
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
// The zero Timer works. Decisions take units.Instant values as arguments and
// never call the timer themselves.
package timer

import (
	"context"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Timer reads the monotonic clock and wakes its subscribers.
type Timer struct {
	once  sync.Once
	start time.Time
}

// Subscription delivers instants on C until it is stopped. A subscriber that
// falls behind misses instants; they do not queue up.
type Subscription struct {
	C    <-chan units.Instant
	stop context.CancelFunc
}

// Stop ends the subscription.
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

// Now returns the time since the timer was first used.
func (t *Timer) Now() units.Instant {
	t.once.Do(func() { t.start = time.Now() })
	return units.Instant(time.Since(t.start))
}

// Wall returns the time of day, for logs, reports and certificates only.
func (t *Timer) Wall() time.Time { return time.Now() }

// Every subscribes to an instant in each period.
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

// Sleep returns after d, or earlier with the context's error.
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

// Within returns a context that ends after d.
func (t *Timer) Within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// Left returns the time until the context's deadline; it is false when there is none.
func (t *Timer) Left(ctx context.Context) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, false
	}
	return time.Until(deadline), true
}
