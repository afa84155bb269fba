// Package follow reads a topic of the platform's store and every record that is appended to it
// later.
//
// # Usage
//
//	f := &follow.Follower{Common: c, Store: store, Topic: keyed.Settings, Apply: apply}
//	go f.Run(ctx)
//
// Records are applied in the order of the topic. After a gap, the newest record of each key is
// applied again, so Apply must be idempotent.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// minRetryPause and maxRetryPause bound the pauses between failed calls, which all daemons
	// make at once while the store is down.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// waitMargin is what a long poll may take beyond its wait.
	waitMargin = 2 * time.Second
)

// Follower reads one topic.
type Follower struct {
	Common *common.Common
	Store  keyed.Store
	Topic  keyed.Topic
	// BatchDelay is the pause after a read that returned records, so that the next call returns
	// everything that was appended meanwhile. With zero, the next call follows at once.
	BatchDelay time.Duration
	Apply      func(keyed.Record)

	nextOffset ids.Offset
	loaded     atomic.Bool
	// failingSince holds the time of the first failure since the last success, or zero.
	failingSince atomic.Int64
}

// Loaded reports whether the topic was read completely once.
func (f *Follower) Loaded() bool { return f.loaded.Load() }

// Outage returns for how long the store has not answered, or zero.
func (f *Follower) Outage(now units.Instant) time.Duration {
	since := f.failingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(units.Instant(since))
}

// Run reads and applies records until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			pause = minRetryPause
			f.markRecovered()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.markFailed(err)
		if f.Common.Clock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// readOnce makes one call to the store and applies the records that it returned.
func (f *Follower) readOnce(ctx context.Context) error {
	if !f.loaded.Load() {
		return f.loadNewest(ctx)
	}
	wait := f.Common.Mesh.Store.Wait
	ctx, cancel := f.Common.Clock.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	page, err := f.Store.Read(ctx, f.Topic, f.nextOffset, wait)
	if errors.Is(err, keyed.ErrExpired) {
		f.Common.Info(event.TopicGap, zap.String("topic", string(f.Topic)), zap.Uint64("from", uint64(f.nextOffset)))
		return f.loadNewest(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(page)
	if len(page.Records) > 0 && f.BatchDelay > 0 {
		_ = f.Common.Clock.Sleep(ctx, f.BatchDelay)
	}
	return nil
}

// loadNewest reads and applies the newest record of every key.
func (f *Follower) loadNewest(ctx context.Context) error {
	ctx, cancel := f.Common.Clock.WithTimeout(ctx, f.Common.Mesh.Store.Timeout)
	defer cancel()
	page, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.apply(page)
	f.loaded.Store(true)
	return nil
}

func (f *Follower) apply(page keyed.Page) {
	for _, r := range page.Records {
		f.Apply(r)
	}
	f.nextOffset = page.End
}

func (f *Follower) markFailed(err error) {
	now := max(f.Common.Clock.Now(), 1)
	if f.failingSince.CompareAndSwap(0, int64(now)) {
		f.Common.Warn(event.StoreUnavailable, zap.String("topic", string(f.Topic)), common.Cause(err))
	}
}

func (f *Follower) markRecovered() {
	since := f.failingSince.Swap(0)
	if since != 0 {
		away := f.Common.Clock.Now().Sub(units.Instant(since))
		f.Common.Info(event.StoreRecovered, zap.String("topic", string(f.Topic)), zap.Duration("away", away))
	}
}
