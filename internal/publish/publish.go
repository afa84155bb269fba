// Package publish brings operators' edits onto the log and tells what became of
// them.
//
// # Usage
//
//	p, err := kernel.Find[*publish.Publish](f, "publish")
//	receipt, err := p.Submit(ctx, edit)
//	switch r := receipt.Result.(type) {
//	case publish.Accepted:
//	case publish.Unknown: // ask p.Lookup(receipt.ID) later
//	}
//
// Values and base are checked before anything is appended. When the reply of an
// append is lost, the edit's id is looked for in the records; an append is only
// repeated with the same id, which replay applies once.
package publish

import (
	"context"
	"crypto/rand"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// submitTimeout bounds one Submit when its context does not.
	submitTimeout = 10 * time.Second
	// catchUpTimeout is the time to learn the newest records before an edit is
	// refused.
	catchUpTimeout = 3 * time.Second
	// appendTimeout bounds one append when the settings name no timeout.
	appendTimeout = time.Second
	// retryPause lies between two appends of the same edit.
	retryPause = 200 * time.Millisecond
)

// Publisher submits edits.
type Publisher struct {
	Common *common.Common
	Log    platformlog.Log

	tail *tail.Tail
}

// Receipt tells what became of an edit.
type Receipt struct {
	ID ids.Edit
	// Offset is where the edit stands on the log, as far as it is known.
	Offset ids.Offset
	Result Result
}

// Name implements service.Service.
func (p *Publisher) Name() service.Name { return "publish" }

// Needs implements service.Service.
func (p *Publisher) Needs() []service.Name { return []service.Name{"timer", "tail"} }

// Start implements service.Service.
func (p *Publisher) Start(_ context.Context, f service.Finder) error {
	var err error
	p.tail, err = kernel.Find[*tail.Tail](f, "tail")
	return err
}

// Stop implements service.Service.
func (p *Publisher) Stop(context.Context) error { return nil }

// Submit publishes one edit. An edit without an ID is given one; the same ID
// again returns what became of the first. The receipt always holds a result; the
// error is that of ctx when it ended meanwhile.
func (p *Publisher) Submit(ctx context.Context, e record.Edit) (Receipt, error) {
	if e.ID == "" {
		e.ID = ids.Edit(rand.Text())
	}
	if r, ok := p.Lookup(e.ID); ok {
		return r, nil
	}
	within, cancel := p.Common.Clock.Within(ctx, submitTimeout)
	defer cancel()
	if refusal := p.refusal(within, e); refusal != nil {
		return Receipt{ID: e.ID, Result: refusal}, ctx.Err()
	}
	return p.append(within, e), ctx.Err()
}

// Lookup returns what became of an edit, when this daemon has read it.
func (p *Publisher) Lookup(id ids.Edit) (Receipt, bool) {
	r := Receipt{ID: id}
	known := false
	p.tail.View(func(s *replay.State) {
		var out replay.Outcome
		if out, known = s.Outcome(id); known {
			r.Result = resultOf(out)
		}
	})
	if a, ok := r.Result.(Accepted); ok {
		r.Offset = a.Version
	}
	return r, known
}

// refusal returns why the edit can't be accepted, or nil. Before it refuses for
// the state's sake it learns all records up to now.
func (p *Publisher) refusal(ctx context.Context, e record.Edit) Result {
	if !e.Remove {
		if _, err := settings.Parse(e.Path, e.Values); err != nil {
			return Invalid{Reason: err.Error(), Cause: err}
		}
	}
	startedAt := p.Common.Clock.Now()
	if p.evaluate(e) == nil {
		return nil
	}
	ctx, cancel := p.Common.Clock.Within(ctx, catchUpTimeout)
	defer cancel()
	if err := p.tail.WaitCaughtUp(ctx, startedAt); err != nil {
		return NotAppended{Reason: "the newest settings can't be read; nothing was appended"}
	}
	return p.evaluate(e)
}

// evaluate rules on the edit by the present state; nil means that it would be
// accepted.
func (p *Publisher) evaluate(e record.Edit) Result {
	var result Result
	p.tail.View(func(s *replay.State) {
		out := s.DryRun(s.Offset()+1, e)
		if _, ok := out.(replay.Accepted); ok {
			return
		}
		result = resultOf(out)
		if _, ok := result.(Conflict); ok {
			result = conflictAt(s, e.Path)
		}
	})
	return result
}

// conflictAt tells what stands at the path now.
func conflictAt(s *replay.State, path ids.Path) Conflict {
	entry, ok := s.Get(path)
	if !ok {
		return Conflict{Removed: true}
	}
	return Conflict{Current: entry.Version, Values: entry.Values()}
}

// append appends the edit until its fate is known or the time is over.
func (p *Publisher) append(ctx context.Context, e record.Edit) Receipt {
	data, err := record.Encode(e)
	if err != nil {
		return Receipt{ID: e.ID, Result: Invalid{Reason: err.Error(), Cause: err}}
	}
	uncertain := false
	for {
		at, err := p.appendOnce(ctx, data)
		if err == nil {
			return p.awaitOutcome(ctx, e, at)
		}
		p.Common.Info(event.AppendFailed, zap.String("edit", string(e.ID)), zap.Error(err))
		if !uncertain && platformlog.IsNotAppended(err) {
			return Receipt{ID: e.ID, Result: NotAppended{Reason: "the log service did not take the edit: " + err.Error()}}
		}
		uncertain = true
		if r, ok := p.resolve(ctx, e); ok {
			return r
		}
		if ctx.Err() != nil {
			return Receipt{ID: e.ID, Result: Unknown{Reason: "the reply of the log service was lost: " + err.Error()}}
		}
	}
}

func (p *Publisher) appendOnce(ctx context.Context, data []byte) (ids.Offset, error) {
	timeout := p.Common.Settings.Platform.Timeout
	if timeout <= 0 {
		timeout = appendTimeout
	}
	ctx, cancel := p.Common.Clock.Within(ctx, timeout)
	defer cancel()
	return p.Log.Append(ctx, platformlog.Settings, data)
}

// resolve looks for the edit until it is found or all records up to now are read.
func (p *Publisher) resolve(ctx context.Context, e record.Edit) (Receipt, bool) {
	if err := p.tail.WaitOutcome(ctx, e.ID, p.Common.Clock.Now()); err != nil {
		return Receipt{}, false
	}
	if r, ok := p.find(e); ok {
		return r, true
	}
	_ = p.Common.Clock.Sleep(ctx, retryPause)
	return Receipt{}, false
}

// awaitOutcome waits until this daemon has applied the edit.
func (p *Publisher) awaitOutcome(ctx context.Context, e record.Edit, at ids.Offset) Receipt {
	if err := p.tail.Wait(ctx, at); err != nil {
		return Receipt{ID: e.ID, Offset: at, Result: Unknown{Reason: "the edit was appended, but could not be read back yet"}}
	}
	r, ok := p.find(e)
	if !ok {
		return Receipt{ID: e.ID, Offset: at, Result: Unknown{Reason: "this daemon no longer remembers the edit"}}
	}
	if _, accepted := r.Result.(Accepted); !accepted {
		r.Offset = at
	}
	return r
}

// find looks the edit up and describes a conflict.
func (p *Publisher) find(e record.Edit) (Receipt, bool) {
	r, ok := p.Lookup(e.ID)
	if _, conflict := r.Result.(Conflict); conflict {
		p.tail.View(func(s *replay.State) { r.Result = conflictAt(s, e.Path) })
	}
	return r, ok
}
