package tail

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// pageLimit is the number of records in one page; it keeps a page of snapshot
	// parts to a few megabytes.
	pageLimit = 32
	// readWait and pullWait are how long a read of the log and a pull from a peer wait
	// for a record.
	readWait = 500 * time.Millisecond
	pullWait = 600 * time.Millisecond
	// pollPause limits the rate of queries to a source that replies at once without
	// new records.
	pollPause = 50 * time.Millisecond
	// pullSlack is the time that a pull may take beyond its wait, and defaultReadSlack
	// that of a read of the log when the settings name no timeout. A caught-up time
	// that is staleAfter less pullSlack old stays within its lease while two relays
	// don't answer and the log is read.
	pullSlack        = 300 * time.Millisecond
	defaultReadSlack = time.Second
)

// errRecordGap means that the source no longer holds the next record.
var errRecordGap = errorx.IllegalState.New("next record has expired at the source")

// errPeerStale means that a peer replied, but has not been caught up recently.
var errPeerStale = errorx.IllegalState.New("peer has not been caught up with the log recently")

// page is the reply of any source.
type page struct {
	items []message.Item
	first ids.Offset
	last  ids.Offset
	// complete means that last was the newest record of the log at queriedAt.
	complete  bool
	queriedAt units.Instant
}

// run follows the settings stream until the kernel stops.
func (t *Tail) run(ctx context.Context) {
	defer close(t.done)
	for ctx.Err() == nil {
		now := t.Common.Clock.Now()
		from, wait := t.sources.next(now, t.readersAt(now))
		if wait > 0 {
			_ = t.Common.Clock.Sleep(ctx, wait)
			continue
		}
		before := t.Offset()
		err := t.poll(ctx, from)
		t.sources.recordResult(t.Common.Clock.Now(), from, err, rand.Float64())
		if err != nil {
			t.Common.Debug(event.LogUnavailable, zap.Error(err))
		}
		if t.Offset() == before && t.Common.Clock.Now().Sub(now) < pollPause {
			_ = t.Common.Clock.Sleep(ctx, pollPause)
		}
	}
}

// poll queries one source once and applies its reply.
func (t *Tail) poll(ctx context.Context, from source) error {
	switch s := from.(type) {
	case logSource:
		return t.pollLog(ctx)
	case peerSource:
		return t.pollPeer(ctx, s.id)
	default:
		return errorx.IllegalArgument.New("unknown source type %T", from)
	}
}

func (t *Tail) pollLog(ctx context.Context) error {
	p, err := t.readLog(ctx, t.Offset()+1, t.waitBudget(readWait, 0))
	if err != nil {
		if t.Offset() == 0 {
			return errorx.DecorateMany("start while the log is unavailable", err, t.loadFromPeers(ctx, 0))
		}
		return err
	}
	if p.first > t.Offset()+1 {
		return t.recoverFromGap(ctx, p.first)
	}
	return t.apply(p)
}

// waitBudget returns how long a query may wait for a record, at most longest, so
// that it ends, its slack included, before the caught-up time is staleAfter old.
func (t *Tail) waitBudget(longest, slack time.Duration) time.Duration {
	caughtUpAt, known := t.LastCaughtUp()
	if !known {
		return 0
	}
	left := staleAfter - t.Common.Clock.Now().Sub(caughtUpAt) - slack
	return max(0, min(longest, left))
}

// readLog reads one page of the log.
func (t *Tail) readLog(ctx context.Context, from ids.Offset, wait time.Duration) (page, error) {
	timeout := t.Common.Settings.Platform.Timeout
	if timeout <= 0 {
		timeout = defaultReadSlack
	}
	ctx, cancel := t.Common.Clock.WithTimeout(ctx, wait+timeout)
	defer cancel()
	queriedAt := t.Common.Clock.Now()
	raw, err := t.Log.Read(ctx, platformlog.Settings, from, pageLimit, wait)
	if err != nil {
		return page{}, err
	}
	p := page{first: raw.First, last: raw.Last, complete: true, queriedAt: queriedAt}
	for _, item := range raw.Items {
		p.items = append(p.items, message.Item{At: item.At, Data: item.Data})
	}
	return p, nil
}

func (t *Tail) pollPeer(ctx context.Context, id ids.Daemon) error {
	wait := t.waitBudget(pullWait, pullSlack)
	pullCtx, cancel := t.Common.Clock.WithTimeout(ctx, wait+pullSlack)
	defer cancel()
	queriedAt := t.Common.Clock.Now()
	reply, err := t.peers.Call(pullCtx, id, message.Pull{From: t.Offset() + 1, Wait: wait})
	if err != nil {
		return err
	}
	m, ok := reply.(message.Records)
	if !ok {
		return errorx.IllegalFormat.New("%s replied to a pull with %T", id, reply)
	}
	if m.First > t.Offset()+1 {
		return t.loadFromPeer(ctx, id)
	}
	if m.Last < t.Offset() {
		return errPeerStale
	}
	p := page{items: m.Items, first: m.First, last: m.Last, complete: m.CaughtUp, queriedAt: queriedAt.Add(-m.Age)}
	if err := t.apply(p); err != nil {
		return err
	}
	if !m.CaughtUp || t.Common.Clock.Now().Sub(p.queriedAt) > staleAfter {
		return errPeerStale
	}
	return nil
}

// apply applies the records of a page in order. At a gap it stops, and the page
// does not renew the caught-up time.
func (t *Tail) apply(p page) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.state.Offset()
	for _, item := range p.items {
		if _, gap := t.applyOne(item).(replay.Gap); gap {
			return errRecordGap
		}
	}
	after := t.state.Offset()
	t.Common.Invariant.Check(after >= before, "settings reverted")
	if p.complete && p.last < before {
		t.Common.Warn(event.LogBehind, zap.Uint64("last", uint64(p.last)), zap.Uint64("offset", uint64(before)))
		return errorx.IllegalState.New("reply ends at offset %d, before the current state at offset %d", p.last, before)
	}
	proven := p.complete && after >= p.last && (!t.everCaughtUp || t.caughtUpAt.Before(p.queriedAt))
	if proven {
		t.caughtUpAt, t.everCaughtUp = p.queriedAt, true
	}
	if proven || after > before {
		t.wakeWaiters()
	}
	return nil
}

// applyOne applies one record and checks that the version of its section does not
// go back. The caller holds the lock.
func (t *Tail) applyOne(item message.Item) replay.Outcome {
	rec, err := record.Decode(item.Data)
	if err != nil {
		t.Common.Warn(event.RecordInvalid, zap.Uint64("offset", uint64(item.At)), zap.Error(err))
		rec = record.Unreadable{}
	}
	before := t.state.Offset()
	out := t.state.Apply(item.At, rec)
	if t.state.Offset() == before {
		return out
	}
	if a, ok := out.(replay.Accepted); ok {
		t.Common.Invariant.Check(a.Version > before, "a section's version went back")
	}
	t.history.add(withoutSections(rec, item))
	return out
}

// withoutSections returns the item without the sections if it is part of a
// snapshot. Followers that have read all earlier records don't need them.
func withoutSections(rec record.Record, item message.Item) message.Item {
	snap, ok := rec.(record.Snapshot)
	if !ok {
		return item
	}
	snap.Sections, snap.Recent = nil, nil
	data, err := record.Encode(snap)
	if err != nil {
		return item
	}
	return message.Item{At: item.At, Data: data}
}
