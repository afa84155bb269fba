// Package publish appends operators' edits to the log and reports their results.
//
// # Usage
//
//	p, err := kernel.Find[*publish.Publisher](f, "publish")
//	receipt, err := p.Submit(ctx, edit)
//	switch r := receipt.Result.(type) {
//	case publish.Accepted:
//	case publish.Unknown: // call p.Lookup(receipt.ID) later
//	}
//
// The edit is checked against the current state before it is appended. When the
// reply of an append is lost, the records are searched for the edit's id; a
// repeated append has the same id, and replay applies it once.
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
	// catchUpTimeout is how long a refusal waits for the newest records.
	catchUpTimeout = 3 * time.Second
	// appendTimeout bounds one append when the settings name no timeout.
	appendTimeout = time.Second
	// retryPause is the pause between two appends of the same edit.
	retryPause = 200 * time.Millisecond
)

// Publisher submits edits.
type Publisher struct {
	Common *common.Common
	Log    platformlog.Log

	tail *tail.Tail
}

// Receipt is the result of an edit.
type Receipt struct {
	ID ids.Edit
	// Offset is the place of the edit on the log; zero when it is not known.
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

// Submit appends one edit and waits for its result. An edit without an ID is given
// one; another call with the same ID returns the result of the first. The receipt
// always holds a result; the error is that of ctx if it ended meanwhile.
func (p *Publisher) Submit(ctx context.Context, e record.Edit) (Receipt, error) {
	if e.ID == "" {
		e.ID = ids.Edit(rand.Text())
	}
	if r, ok := p.Lookup(e.ID); ok {
		return r, nil
	}
	within, cancel := p.Common.Clock.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if refusal := p.refusal(within, e); refusal != nil {
		return Receipt{ID: e.ID, Result: refusal}, ctx.Err()
	}
	return p.append(within, e), ctx.Err()
}

// Lookup returns the result of an edit, if this daemon has applied it and still
// retains it.
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

// refusal returns why the edit can't be accepted, or nil. Unless the values alone
// are invalid, it catches up with the log before it refuses.
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
	ctx, cancel := p.Common.Clock.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := p.tail.WaitCaughtUp(ctx, startedAt); err != nil {
		return NotAppended{Reason: "the newest settings can't be read; nothing was appended"}
	}
	return p.evaluate(e)
}

// evaluate returns why the edit would not be accepted in the current state, or nil.
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

// conflictAt returns a conflict with the current section at the path.
func conflictAt(s *replay.State, path ids.Path) Conflict {
	entry, ok := s.Get(path)
	if !ok {
		return Conflict{Removed: true}
	}
	return Conflict{Current: entry.Version, Values: entry.Values()}
}

// append appends the edit until its result is known or ctx ends.
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
	ctx, cancel := p.Common.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	return p.Log.Append(ctx, platformlog.Settings, data)
}

// resolve looks for an edit whose append may have taken effect. It returns false if
// all records up to now are applied and the edit is not among them, or if ctx ends.
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

// awaitOutcome waits until this daemon has applied the edit and returns the result.
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

// find looks the edit up; a conflict is returned with the current section.
func (p *Publisher) find(e record.Edit) (Receipt, bool) {
	r, ok := p.Lookup(e.ID)
	if _, conflict := r.Result.(Conflict); conflict {
		p.tail.View(func(s *replay.State) { r.Result = conflictAt(s, e.Path) })
	}
	return r, ok
}
