// Package tail follows the settings stream and holds the shared settings.
//
// # Usage
//
//	t, err := kernel.Find[*tail.Tail](f, "tail")
//	t.View(func(s *replay.State) { account, ok = s.Key(hash) })
//	err = t.Wait(ctx, offset)
package tail

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	pageLimit  = 512
	readWait   = 500 * time.Millisecond
	retryPause = 200 * time.Millisecond
	readSlack  = time.Second
)

// Tail holds the state as of the last record read.
type Tail struct {
	Common *common.Common
	Log    platformlog.Log

	mu      sync.RWMutex
	state   replay.State
	changed chan struct{}
	// asked is when the newest question was sent whose answer showed that the
	// state holds every record of the log.
	asked units.Instant
	known bool
	done  chan struct{}
}

// Name implements service.Service.
func (t *Tail) Name() service.Name { return "tail" }

// Needs implements service.Service.
func (t *Tail) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (t *Tail) Start(ctx context.Context, _ service.Finder) error {
	t.changed = make(chan struct{})
	t.done = make(chan struct{})
	go t.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context.
func (t *Tail) Stop(context.Context) error { return nil }

// View calls read with the state; read must not keep it.
func (t *Tail) View(read func(*replay.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	read(&t.state)
}

// Wait returns once the state has reached the offset.
func (t *Tail) Wait(ctx context.Context, at ids.Offset) error {
	for {
		t.mu.RLock()
		reached, changed := t.state.Offset() >= at, t.changed
		t.mu.RUnlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Asked returns when the newest question was sent whose answer showed that the
// state holds every record of the log; it is false when there was none.
func (t *Tail) Asked() (units.Instant, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.asked, t.known
}

// run reads the log until the kernel stops.
func (t *Tail) run(ctx context.Context) {
	defer close(t.done)
	for ctx.Err() == nil {
		if err := t.step(ctx); err != nil {
			t.Common.Debug(event.LogAway, zap.Error(err))
			_ = t.Common.Clock.Sleep(ctx, retryPause)
		}
	}
}

// step reads and applies one page.
func (t *Tail) step(ctx context.Context) error {
	ctx, cancel := t.Common.Clock.Within(ctx, readWait+readSlack)
	defer cancel()
	t.mu.RLock()
	from := t.state.Offset() + 1
	t.mu.RUnlock()
	asked := t.Common.Clock.Now()
	page, err := t.Log.Read(ctx, platformlog.Settings, from, pageLimit, readWait)
	if err != nil {
		return err
	}
	t.apply(asked, page)
	return nil
}

func (t *Tail) apply(asked units.Instant, page platformlog.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range page.Items {
		rec, err := record.Decode(item.Data)
		if err != nil {
			t.Common.Warn(event.RecordBad, zap.Uint64("offset", uint64(item.At)), zap.Error(err))
			rec = record.Unreadable{}
		}
		before := t.state.Offset()
		t.state.Apply(item.At, rec)
		t.Common.Invariant.Check(t.state.Offset() >= before, "settings reverted")
	}
	if t.state.Offset() >= page.Last {
		t.asked, t.known = asked, true
	}
	if len(page.Items) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}
