// Package relay answers the pulls and fetches of other daemons, so that few daemons
// read the log.
//
// # Usage
//
//	r, err := kernel.Find[*relay.Relay](f, "relay")
//	records := r.Pull(ctx, message.Pull{From: 7, Wait: time.Second})
//	piece, err := r.Fetch(message.Fetch{})
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// maxWait bounds how long one Pull waits for a record.
	maxWait = 2 * time.Second
	// frozenTTL is how long a frozen state is retained for the next part of a Fetch.
	frozenTTL = 30 * time.Second
	// frozenReuseAge is the age up to which a frozen state is reused for a new Fetch.
	frozenReuseAge = 5 * time.Second
)

// Relay answers Pull and Fetch.
type Relay struct {
	Common *common.Common

	tail *tail.Tail

	mu       sync.Mutex
	frozen   *replay.Frozen
	frozenAt units.Instant
	usedAt   units.Instant
}

// Name implements service.Service.
func (r *Relay) Name() service.Name { return "relay" }

// Needs implements service.Service.
func (r *Relay) Needs() []service.Name { return []service.Name{"timer", "tail"} }

// Start implements service.Service.
func (r *Relay) Start(ctx context.Context, f service.Finder) error {
	if err := kernel.Bind(f, "tail", &r.tail); err != nil {
		return err
	}
	go r.run(ctx)
	return nil
}

// Stop implements service.Service.
func (r *Relay) Stop(context.Context) error { return nil }

// run evicts the frozen state after frozenTTL without a Fetch.
func (r *Relay) run(ctx context.Context) {
	sub := r.Common.Clock.Every(frozenTTL)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			r.evictFrozen(now)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) evictFrozen(now units.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.usedAt) >= frozenTTL {
		r.frozen = nil
	}
}

// Pull returns the records from an offset on. If there are none, it waits for one,
// at most maxWait.
func (r *Relay) Pull(ctx context.Context, m message.Pull) message.Message {
	return r.tail.AwaitRecords(ctx, m.From, min(max(m.Wait, 0), maxWait))
}

// Fetch returns one part of the state. It returns an error if there is no such
// part, or if the state that the part belongs to is no longer retained.
func (r *Relay) Fetch(m message.Fetch) (message.Message, error) {
	f, err := r.frozenState(m)
	if err != nil {
		return nil, err
	}
	part, ok := f.Part(m.Part)
	if !ok {
		return nil, errorx.IllegalArgument.New("the state as of %d has no part %d", f.Offset(), m.Part)
	}
	part.Maker = r.Common.Settings.Identity.Daemon
	return message.SnapshotPart{Snapshot: part}, nil
}

// frozenState returns the frozen state from which the sender fetched part 0, or for
// part 0 one that is at most frozenReuseAge old.
func (r *Relay) frozenState(m message.Fetch) (*replay.Frozen, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Common.Clock.Now()
	r.usedAt = now
	if m.Part == 0 && (r.frozen == nil || now.Sub(r.frozenAt) > frozenReuseAge) {
		r.frozen, r.frozenAt = r.tail.Freeze(), now
	}
	if r.frozen == nil || (m.Part > 0 && r.frozen.Offset() != m.As) {
		return nil, errorx.IllegalState.New("the state as of %d is no longer held", m.As)
	}
	return r.frozen, nil
}
