// Package tail follows the settings stream and holds the shared settings.
//
// # Usage
//
//	t, err := kernel.Find[*tail.Tail](f, "tail")
//	t.View(func(s *replay.State) { account, ok = s.AccountByKey(hash) })
//	err = t.Wait(ctx, offset)
//
// Two daemons of each data centre read the log; the others pull the records from
// one of these, and read the log themselves when both fail or are stale. When the
// log has expired records that this daemon did not read, it first loads a snapshot,
// from a peer or from the log.
package tail

import (
	"context"
	"sync"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/peer"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Tail holds the state as of the last record that was applied.
type Tail struct {
	Common *common.Common
	Log    platformlog.Log

	directory *directory.Directory
	peers     peer.Caller
	sources   sources
	readers   readers

	mu      sync.RWMutex
	state   *replay.State
	history history
	changed chan struct{}
	// caughtUpAt is when the newest query was sent whose reply showed that the state
	// holds every record of the log. It is valid if everCaughtUp is set.
	caughtUpAt   units.Instant
	everCaughtUp bool
	done         chan struct{}
}

// Name implements service.Service.
func (t *Tail) Name() service.Name { return "tail" }

// Needs implements service.Service.
func (t *Tail) Needs() []service.Name { return []service.Name{"timer", "directory", "dial"} }

// Start implements service.Service.
func (t *Tail) Start(ctx context.Context, f service.Finder) error {
	var err error
	if t.directory, err = kernel.Find[*directory.Directory](f, "directory"); err != nil {
		return err
	}
	if t.peers, err = kernel.Find[peer.Caller](f, "dial"); err != nil {
		return err
	}
	t.state = &replay.State{}
	t.history.reset(1)
	t.changed = make(chan struct{})
	t.done = make(chan struct{})
	go t.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context.
func (t *Tail) Stop(context.Context) error { return nil }

// View calls read with the state under the read lock; read must not retain it.
func (t *Tail) View(read func(*replay.State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	read(t.state)
}

// Offset returns the offset of the last record applied.
func (t *Tail) Offset() ids.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Offset()
}

// Wait blocks until the record at the offset is applied or ctx ends.
func (t *Tail) Wait(ctx context.Context, at ids.Offset) error {
	return t.waitUntil(ctx, func() bool { return t.state.Offset() >= at })
}

// WaitCaughtUp blocks until LastCaughtUp is later than the instant, or until ctx
// ends. The state then holds every record that was on the log at that instant.
func (t *Tail) WaitCaughtUp(ctx context.Context, since units.Instant) error {
	return t.waitUntil(ctx, func() bool { return t.everCaughtUp && since.Before(t.caughtUpAt) })
}

// WaitOutcome blocks until the outcome of the edit is known, until the state holds
// every record that was on the log at the instant, or until ctx ends.
func (t *Tail) WaitOutcome(ctx context.Context, id ids.Edit, since units.Instant) error {
	return t.waitUntil(ctx, func() bool {
		_, found := t.state.Outcome(id)
		return found || (t.everCaughtUp && since.Before(t.caughtUpAt))
	})
}

// waitUntil blocks until the condition holds or ctx ends. The condition is checked
// under the read lock after each change.
func (t *Tail) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		t.mu.RLock()
		reached, changed := condition(), t.changed
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

// LastCaughtUp returns when the newest query was sent whose reply showed that the
// state holds every record of the log, and whether there was one. Every record that
// was on the log at that instant of this daemon's clock is in the state. For a
// reply that came through a relay the instant is moved back by the time since the
// relay itself was caught up, so it is never later than the relay's query to the
// log.
func (t *Tail) LastCaughtUp() (units.Instant, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.caughtUpAt, t.everCaughtUp
}

// wakeWaiters wakes all blocked waiters; the caller holds the lock.
func (t *Tail) wakeWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}
