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
	// pageLimit keeps a page of snapshot parts to a few megabytes.
	pageLimit = 32
	readWait  = 500 * time.Millisecond
	pullWait  = 600 * time.Millisecond
	// pollPause bounds the rate of questions to a source that answers at once
	// although it has nothing new.
	pollPause = 50 * time.Millisecond
	// pullSlack is the time for a relay's answer beyond its wait, and readSlack
	// that for the log's when the settings name none. Evidence of staleAfter less
	// pullSlack lives through two relays that do not answer and a read of the log.
	pullSlack        = 300 * time.Millisecond
	defaultReadSlack = time.Second
)

// errRecordGap says that the source no longer holds the next record.
var errRecordGap = errorx.IllegalState.New("the next record has expired at the source")

// errPeerStale says that a relay answered without recent evidence of its own.
var errPeerStale = errorx.IllegalState.New("the relay's evidence is out of date")

// page is what any source answers.
type page struct {
	items []message.Item
	first ids.Offset
	last  ids.Offset
	// complete says that last was the newest record of the log at the instant
	// asked.
	complete  bool
	queriedAt units.Instant
}

// run follows the stream until the kernel stops.
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
			t.Common.Debug(event.LogAway, zap.Error(err))
		}
		if t.Offset() == before && t.Common.Clock.Now().Sub(now) < pollPause {
			_ = t.Common.Clock.Sleep(ctx, pollPause)
		}
	}
}

// poll asks one source once and applies its answer.
func (t *Tail) poll(ctx context.Context, from source) error {
	switch s := from.(type) {
	case logSource:
		return t.pollLog(ctx)
	case peerSource:
		return t.pollPeer(ctx, s.id)
	default:
		return errorx.IllegalArgument.New("no reader for source %T", from)
	}
}

func (t *Tail) pollLog(ctx context.Context) error {
	p, err := t.readLog(ctx, t.Offset()+1, t.waitBudget(readWait, 0))
	if err != nil {
		if t.Offset() == 0 {
			return errorx.DecorateMany("start without the log", err, t.loadFromPeers(ctx, 0))
		}
		return err
	}
	if p.first > t.Offset()+1 {
		return t.recoverFromGap(ctx, p.first)
	}
	return t.apply(p)
}

// waitBudget returns how long a question may wait for a record, so that its answer
// is there, or given up after the slack, before the evidence is out of date.
func (t *Tail) waitBudget(longest, slack time.Duration) time.Duration {
	asked, known := t.LastCaughtUp()
	if !known {
		return 0
	}
	left := staleAfter - t.Common.Clock.Now().Sub(asked) - slack
	return max(0, min(longest, left))
}

// readLog reads one page of the log.
func (t *Tail) readLog(ctx context.Context, from ids.Offset, wait time.Duration) (page, error) {
	timeout := t.Common.Settings.Platform.Timeout
	if timeout <= 0 {
		timeout = defaultReadSlack
	}
	ctx, cancel := t.Common.Clock.Within(ctx, wait+timeout)
	defer cancel()
	asked := t.Common.Clock.Now()
	raw, err := t.Log.Read(ctx, platformlog.Settings, from, pageLimit, wait)
	if err != nil {
		return page{}, err
	}
	p := page{first: raw.First, last: raw.Last, complete: true, queriedAt: asked}
	for _, item := range raw.Items {
		p.items = append(p.items, message.Item{At: item.At, Data: item.Data})
	}
	return p, nil
}

func (t *Tail) pollPeer(ctx context.Context, id ids.Daemon) error {
	wait := t.waitBudget(pullWait, pullSlack)
	pullCtx, cancel := t.Common.Clock.Within(ctx, wait+pullSlack)
	defer cancel()
	asked := t.Common.Clock.Now()
	reply, err := t.peers.Call(pullCtx, id, message.Pull{From: t.Offset() + 1, Wait: wait})
	if err != nil {
		return err
	}
	m, ok := reply.(message.Records)
	if !ok {
		return errorx.IllegalFormat.New("%s answered a pull with %T", id, reply)
	}
	if m.First > t.Offset()+1 {
		return t.loadFromPeer(ctx, id)
	}
	if m.Last < t.Offset() {
		return errPeerStale
	}
	p := page{items: m.Items, first: m.First, last: m.Last, complete: m.Known, queriedAt: asked.Add(-m.Age)}
	if err := t.apply(p); err != nil {
		return err
	}
	if !m.Known || t.Common.Clock.Now().Sub(p.queriedAt) > staleAfter {
		return errPeerStale
	}
	return nil
}

// apply applies a page in order. A page that does not continue the state changes
// nothing after the gap and proves nothing.
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
		return errorx.IllegalState.New("the answer ends at %d, before the state at %d", p.last, before)
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

// applyOne applies one record and checks that its section does not go back.
func (t *Tail) applyOne(item message.Item) replay.Outcome {
	rec, err := record.Decode(item.Data)
	if err != nil {
		t.Common.Warn(event.RecordBad, zap.Uint64("offset", uint64(item.At)), zap.Error(err))
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

// withoutSections returns the item as followers need it: the sections of a snapshot have
// no effect on a state that has read everything before.
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
