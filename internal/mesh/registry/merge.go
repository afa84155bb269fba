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
func (r *Registry) apply(k keyed.Record, _ keyed.Position) {
	if len(k.Value) == 0 {
		r.removeLocal(ids.Address(k.Key))
		return
	}
	r.merge(k.Key, k.Value)
}

// removeLocal removes a daemon that another daemon has removed from the store. If it is this
// daemon, its registration is written again.
func (r *Registry) removeLocal(a ids.Address) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a == r.own.Address {
		r.rewriteOwn()
		return
	}
	delete(r.registrations, a)
	r.invalidateView()
}

// Remove deletes a lost daemon's registration from the store, for the whole fleet. A daemon
// that still runs then writes its registration again. Remove blocks for at most the store's
// timeout.
func (r *Registry) Remove(ctx context.Context, a ids.Address) error {
	r.mu.Lock()
	_, known := r.registrations[a]
	r.mu.Unlock()
	if !known {
		return nil
	}
	ctx, cancel := r.Common.Clock.WithTimeout(ctx, r.Common.Mesh.Store.Timeout)
	defer cancel()
	if err := r.Store.Put(ctx, keyed.Fleet, keyed.Record{Key: string(a)}); err != nil {
		return errorx.Decorate(err, "remove the registration of the daemon at %s", a)
	}
	r.removeLocal(a)
	return nil
}

// Merge adds an encoded registration from the store or from another daemon, unless a newer
// one is known.
func (r *Registry) Merge(raw []byte) { r.merge("", raw) }

func (r *Registry) merge(key string, raw []byte) {
	reg, err := decode(key, raw)
	if err != nil {
		r.Common.Warn(event.PeerRecordInvalid, common.Cause(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reg.Address == r.own.Address {
		r.mergeOwn(reg)
		return
	}
	old, known := r.registrations[reg.Address]
	if known && !reg.Newer(old) {
		return
	}
	r.registrations[reg.Address] = reg
	r.invalidateView()
	r.Common.Info(event.PeerChanged,
		zap.String("daemon", string(reg.Daemon)), zap.String("service", string(reg.Service)),
		zap.String("target", string(reg.Target)), zap.String("state", string(reg.State)),
		zap.Bool("stopping", reg.Stopping), zap.Uint64("incarnation", uint64(reg.Incarnation)))
}

// mergeOwn compares a registration under the own address with the last one that this process
// wrote. One of an earlier process raises the own incarnation. One that got to the store after
// a newer one, because its write took effect late, is overwritten. The caller holds the lock.
func (r *Registry) mergeOwn(reg Registration) {
	if !r.published {
		r.previous, r.hasPrevious = reg, true
		r.own.Incarnation = max(r.own.Incarnation, reg.Incarnation+1)
		return
	}
	if reg.Incarnation == r.own.Incarnation && reg.Revision >= r.highestRead {
		r.highestRead = reg.Revision
		return
	}
	r.own.Incarnation = max(r.own.Incarnation, reg.Incarnation+1)
	r.rewriteOwn()
}

// rewriteOwn has the own registration written again, as a newer one than all before, if it may be in
// the store at all. The caller holds the lock.
func (r *Registry) rewriteOwn() {
	if !r.published {
		return
	}
	r.own.Revision++
	r.stored = make(chan struct{})
	r.wakePublisher()
}

// writeAgain writes the own registration to a store that came back from an older copy, which may lack
// it. Registrations of other daemons that are newer than those in the store stay.
func (r *Registry) writeAgain(ids.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewriteOwn()
}
