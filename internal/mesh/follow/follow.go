// Package follow reads a topic of the platform's store and every record that is appended to it
// later.
//
// # Usage
//
//	f := &follow.Follower{Common: c, Store: store, Topic: keyed.Settings, Apply: apply}
//	go f.Run(ctx)
//
//	f.LeaveToOthers()              // other daemons deliver the records from now on
//	f.Deliver(from, records)         // what one of them had
//	records, ok := f.Since(position) // for others
//
// Records are applied in the order of the topic, each once, whether they come from the store or
// from another daemon. After a gap, the newest record of each key is applied again, so Apply must
// be idempotent.
//
// The store may come back from an older copy, which begins a new era: what was written last is
// missing, and offsets are given out again. Then the newest record of each key is applied again too,
// and Apply must not undo what it knows to be newer. An answer of an earlier era than the last one is
// an error.
//
// A read waits at the store for news. A connection may go silent without an error, which looks like
// a store without news, so MaxWait bounds for how long a silent store goes unnoticed. The read
// after a failed one does not wait, and shows at once whether the store answers again.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
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
	// defaultMaxWait is the bound for a topic whose news have to be applied within two seconds.
	defaultMaxWait = time.Second
	// lateMargin is what a long poll may take beyond its wait until the store counts as silent.
	lateMargin = 500 * time.Millisecond
	// unanswered is an instant before all others.
	unanswered = -1 << 62
	// keptBytes bounds the records that are kept for other daemons: about a thousand changes of
	// a registration.
	keptBytes = 256 << 10
)

// Follower reads one topic.
type Follower struct {
	Common *common.Common
	Store  keyed.Store
	Topic  keyed.Topic
	// BatchDelay is the pause after a read that returned records, so that the next call returns
	// everything that was appended meanwhile. With zero, the next call follows at once.
	BatchDelay time.Duration
	// MaxWait bounds how long a read waits for news, one second if it is zero. The settings may
	// shorten it.
	MaxWait time.Duration
	// Apply gets each record with the position after it.
	Apply func(keyed.Record, keyed.Position)
	// Listed, if it is set, gets all keys of the topic before the newest record of each is applied,
	// with the position after them. A key that is missing there has been deleted, or was written
	// after the copy from which the store came back.
	Listed func(keys map[string]bool, at keyed.Position)
	// EraBegan, if it is set, is called when the store has come back from an older copy, after the
	// newest records were applied.
	EraBegan func(ids.Era)

	loaded atomic.Bool
	// failingSince holds the time of the first failure since the last success, or zero.
	failingSince atomic.Int64
	// answeredAt holds when the store last answered.
	answeredAt atomic.Int64
	// idle is set while other daemons deliver the records.
	idle atomic.Bool
	// catchUp is set when one read is wanted although others deliver.
	catchUp atomic.Bool
	// newestEra is the latest era that another daemon knows.
	newestEra atomic.Uint64

	mu sync.Mutex
	// position is after the last applied record.
	position keyed.Position
	// kept holds the last records before position.
	kept      []keyed.Record
	keptBytes int
	// interrupt ends the read that is in progress.
	interrupt context.CancelFunc
	// wake is made by the first that needs it.
	wake chan struct{}
}

// Loaded reports whether the topic was read completely once.
func (f *Follower) Loaded() bool { return f.loaded.Load() }

// Position returns the position after the last applied record.
func (f *Follower) Position() keyed.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Outage returns for how long the store has not answered, or zero. It is zero while other
// daemons deliver.
func (f *Follower) Outage(now units.Instant) time.Duration {
	since := f.failingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(units.Instant(since))
}

// Current reports whether the follower reads the store, and the store answers in time.
func (f *Follower) Current(now units.Instant) bool {
	return f.loaded.Load() && !f.idle.Load() && f.failingSince.Load() == 0 &&
		now.Sub(units.Instant(f.answeredAt.Load())) < f.wait()+f.BatchDelay+lateMargin
}

// ReadStore ends the time in which others deliver. The first read does not wait for news, so
// that it soon shows whether the store answers.
func (f *Follower) ReadStore() {
	if !f.idle.Swap(false) {
		return
	}
	f.answeredAt.Store(unanswered)
	f.CatchUp()
}

// LeaveToOthers makes the follower read the store no more, since other daemons deliver.
func (f *Follower) LeaveToOthers() {
	if f.idle.Swap(true) {
		return
	}
	f.failingSince.Store(0)
	f.wakeUp()
}

// CatchUp has the store read once, although other daemons deliver.
func (f *Follower) CatchUp() {
	f.catchUp.Store(true)
	f.wakeUp()
}

// leftToOthers reports whether other daemons deliver the records. They can't to a daemon that has yet
// to read the store in the era that they know.
func (f *Follower) leftToOthers() bool {
	return f.loaded.Load() && f.idle.Load() && f.Position().Era >= ids.Era(f.newestEra.Load())
}

// ExpectEra tells that another daemon got answers of the store in the era. Answers of earlier ones
// are errors from then on, so that this daemon asks others for what it needs until the store answers
// it in that era too.
func (f *Follower) ExpectEra(era ids.Era) {
	for known := f.newestEra.Load(); uint64(era) > known; known = f.newestEra.Load() {
		if f.newestEra.CompareAndSwap(known, uint64(era)) {
			f.CatchUp()
			f.interruptRead()
			return
		}
	}
}

func (f *Follower) wakeUp() {
	select {
	case f.wakes() <- struct{}{}:
	default:
	}
}

func (f *Follower) wakes() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	return f.wake
}

// Run reads and applies records until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		if f.leftToOthers() && !f.catchUp.Load() {
			select {
			case <-f.wakes():
			case <-ctx.Done():
			}
			continue
		}
		began := f.Common.Clock.Now()
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
		// A call that got no answer took its timeout already.
		rest := pause - f.Common.Clock.Now().Sub(began)
		if rest > 0 && f.Common.Clock.Sleep(ctx, rest) != nil {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// readOnce makes one call to the store and applies the records that it returned.
func (f *Follower) readOnce(ctx context.Context) error {
	if !f.loaded.Load() {
		return f.loadNewest(ctx, 0)
	}
	wait, timeout := f.wait(), f.wait()+lateMargin
	if f.catchUp.Swap(false) || f.failingSince.Load() != 0 {
		wait, timeout = 0, f.Common.Mesh.Store.Timeout
	}
	from := f.Position()
	page, err := f.read(ctx, from.Next, wait, timeout)
	if errors.Is(err, keyed.ErrExpired) {
		f.Common.Info(event.TopicGap, zap.String("topic", string(f.Topic)), zap.Uint64("from", uint64(from.Next)))
		return f.loadNewest(ctx, from.Next)
	}
	if err != nil {
		return err
	}
	if err := f.checkEra(page); err != nil {
		return err
	}
	if page.Era > from.Era {
		return f.loadNewest(ctx, 0)
	}
	f.answeredAt.Store(int64(f.Common.Clock.Now()))
	f.Deliver(from, page.Records)
	if len(page.Records) > 0 && f.BatchDelay > 0 && !f.idle.Load() {
		_ = f.Common.Clock.Sleep(ctx, f.BatchDelay)
	}
	return nil
}

func (f *Follower) read(ctx context.Context, from ids.Offset, wait, timeout time.Duration) (keyed.Page, error) {
	ctx, cancel := f.Common.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	f.setInterrupt(cancel)
	defer f.setInterrupt(nil)
	return f.Store.Read(ctx, f.Topic, from, wait)
}

// setInterrupt sets what ends the read that is in progress.
func (f *Follower) setInterrupt(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = cancel
}

// interruptRead ends the read that is in progress, if there is one.
func (f *Follower) interruptRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// wait returns how long a read waits for news.
func (f *Follower) wait() time.Duration {
	longest := f.MaxWait
	if longest == 0 {
		longest = defaultMaxWait
	}
	return min(longest, f.Common.Mesh.Store.Wait)
}

// checkEra returns an error for an answer that was given before the store came back from an older
// copy: another connection, or another daemon, has shown that it has.
func (f *Follower) checkEra(page keyed.Page) error {
	if known := max(f.Position().Era, ids.Era(f.newestEra.Load())); page.Era < known {
		return errorx.ExternalError.New("the store answered in era %d after era %d", page.Era, known)
	}
	return nil
}

// loadNewest reads and applies the newest record of every key. missing is an offset that the store
// said it doesn't have, or zero.
func (f *Follower) loadNewest(ctx context.Context, missing ids.Offset) error {
	ctx, cancel := f.Common.Clock.WithTimeout(ctx, f.Common.Mesh.Store.Timeout)
	defer cancel()
	page, err := f.Store.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	if err := f.checkEra(page); err != nil {
		return err
	}
	era, began := f.applyNewest(page, missing)
	if began {
		f.Common.Warn(event.StoreEraBegan, zap.String("topic", string(f.Topic)), zap.Uint64("era", uint64(era)), zap.Uint64("end", uint64(page.End)))
		if f.EraBegan != nil {
			f.EraBegan(era)
		}
	}
	return nil
}

// applyNewest applies the newest records and reports whether they are the first of another era.
func (f *Follower) applyNewest(page keyed.Page, missing ids.Offset) (era ids.Era, began bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, before := page.Position(), f.position
	keys := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		keys[r.Key] = len(r.Value) > 0
	}
	if f.Listed != nil {
		f.Listed(keys, at)
	}
	for _, r := range page.Records {
		f.Apply(r, at)
	}
	// A topic that ends before an offset at which records were read is another copy, also if the
	// store doesn't count its eras.
	if before.Before(at) || (before.Era == at.Era && at.Next < missing) {
		f.position, f.kept, f.keptBytes = at, nil, 0
	}
	f.answeredAt.Store(int64(f.Common.Clock.Now()))
	began = f.loaded.Swap(true) && f.position.Era > before.Era
	return f.position.Era, began || f.position.Before(before)
}

// Deliver applies the records from a position on that have not been applied yet. Records after a
// gap, or of another era, are ignored.
func (f *Follower) Deliver(from keyed.Position, records []keyed.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.Era != f.position.Era || from.Next > f.position.Next {
		return
	}
	known := f.position.Next - from.Next
	for _, r := range records[min(known, ids.Offset(len(records))):] {
		f.position.Next++
		f.Apply(r, f.position)
		f.keep(r)
	}
}

// keep stores a record for other daemons. The caller holds the lock.
func (f *Follower) keep(r keyed.Record) {
	f.kept = append(f.kept, r)
	f.keptBytes += len(r.Key) + len(r.Value)
	for f.keptBytes > keptBytes {
		f.keptBytes -= len(f.kept[0].Key) + len(f.kept[0].Value)
		f.kept = f.kept[1:]
	}
}

// Since returns the records from a position on. It is false if they are not kept any more, or the
// position lies beyond the records that were read or in another era.
func (f *Follower) Since(from keyed.Position) ([]keyed.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.position.Next - ids.Offset(len(f.kept))
	if from.Era != f.position.Era || from.Next < first || from.Next > f.position.Next {
		return nil, false
	}
	return f.kept[from.Next-first : len(f.kept) : len(f.kept)], true
}

func (f *Follower) markFailed(err error) {
	if f.leftToOthers() {
		return
	}
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
