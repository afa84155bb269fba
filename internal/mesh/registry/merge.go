package registry

import (
	"context"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
)

// apply takes one record of the topic.
func (r *Registry) apply(k keyed.Record) {
	if len(k.Value) == 0 {
		r.removeLocal(ids.Address(k.Key))
		return
	}
	r.Merge(k.Value)
}

// removeLocal takes out a daemon that others take for lost. If it is this one, it writes its
// record again.
func (r *Registry) removeLocal(a ids.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a == r.own.Address {
		if r.published {
			r.own.Revision++
			r.stored = make(chan struct{})
			r.wakePublisher()
		}
		return
	}
	delete(r.records, a)
	r.invalidateView()
}

// Remove takes a lost daemon out of the list, for all daemons. One that lives after all
// comes back by writing its record again.
func (r *Registry) Remove(ctx context.Context, a ids.Address) error {
	r.mu.Lock()
	_, known := r.records[a]
	r.mu.Unlock()
	if !known {
		return nil
	}
	ctx, cancel := r.Common.Clock.Within(ctx, r.Common.Mesh.Store.Timeout)
	defer cancel()
	if err := r.Store.Put(ctx, keyed.Fleet, keyed.Record{Key: string(a)}); err != nil {
		return errorx.Decorate(err, "forget the daemon at %s", a)
	}
	r.removeLocal(a)
	return nil
}

// Merge takes a daemon's record from the store or from another daemon.
func (r *Registry) Merge(raw []byte) {
	rec, err := decode(raw)
	if err != nil {
		r.Common.Warn(event.PeerUnread, common.Cause(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Address == r.own.Address {
		r.mergeOwn(rec)
		return
	}
	old, known := r.records[rec.Address]
	if known && !rec.Newer(old) {
		return
	}
	r.records[rec.Address] = rec
	r.invalidateView()
	r.Common.Info(event.PeerChanged,
		zap.String("daemon", string(rec.Daemon)), zap.String("service", string(rec.Service)),
		zap.String("target", string(rec.Target)), zap.String("state", string(rec.State)),
		zap.Bool("stopping", rec.Stopping), zap.Uint64("incarnation", uint64(rec.Incarnation)))
}

// mergeOwn compares a record under the own address with what this process wrote. A
// record of an earlier process raises the number of this start. One that got to the store
// after a newer one, because its write took effect late, is written over.
func (r *Registry) mergeOwn(rec Registration) {
	if !r.published {
		r.previous, r.hasPrevious = rec, true
		r.own.Incarnation = max(r.own.Incarnation, rec.Incarnation+1)
		return
	}
	if rec.Incarnation == r.own.Incarnation && rec.Revision >= r.highestRead {
		r.highestRead = rec.Revision
		return
	}
	r.own.Incarnation = max(r.own.Incarnation, rec.Incarnation+1)
	r.own.Revision++
	r.stored = make(chan struct{})
	r.wakePublisher()
}
