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

// apply processes one record of the store's topic. An empty value removes the daemon.
func (r *Registry) apply(k keyed.Record) {
	if len(k.Value) == 0 {
		r.removeLocal(ids.Address(k.Key))
		return
	}
	r.Merge(k.Value)
}

// removeLocal removes a daemon that another daemon has removed from the store. If it is this
// daemon, its registration is written again.
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

// Remove deletes a lost daemon's registration from the store, for the whole fleet. A daemon
// that still runs then writes its registration again. Remove blocks for at most the store's
// timeout.
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
		return errorx.Decorate(err, "remove the registration of the daemon at %s", a)
	}
	r.removeLocal(a)
	return nil
}

// Merge adds an encoded registration from the store or from another daemon, unless a newer
// one is known.
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

// mergeOwn compares a registration under the own address with the last one that this process
// wrote. One of an earlier process raises the own incarnation. One that got to the store after
// a newer one, because its write took effect late, is overwritten. The caller holds the lock.
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
