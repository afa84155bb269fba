package tail

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/replay"
)

// AwaitRecords waits until there are records from the offset on, or until the wait
// is over, and returns them with the time since this daemon was caught up. It
// returns at once if that was never or more than staleAfter ago, so that the
// follower can query another source.
func (t *Tail) AwaitRecords(ctx context.Context, from ids.Offset, wait time.Duration) message.Records {
	received := t.Common.Clock.Now()
	waitCtx, cancel := t.Common.Clock.WithTimeout(ctx, wait)
	defer cancel()
	_ = t.waitUntil(waitCtx, func() bool {
		stale := !t.everCaughtUp || t.Common.Clock.Now().Sub(t.caughtUpAt) > staleAfter
		return stale || t.state.Offset() >= from || t.history.first > from
	})
	t.mu.RLock()
	defer t.mu.RUnlock()
	return message.Records{
		Items:    t.history.from(from),
		First:    t.history.first,
		Last:     t.state.Offset(),
		CaughtUp: t.everCaughtUp,
		Age:      received.Sub(t.caughtUpAt),
	}
}

// Freeze returns the whole state as of now.
func (t *Tail) Freeze() *replay.Frozen {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state.Freeze()
}
