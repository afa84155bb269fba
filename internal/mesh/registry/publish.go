package registry

import (
	"context"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
)

// wakePublisher makes publish check whether the own registration has to be written.
func (r *Registry) wakePublisher() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// publishFirst has the own registration written although nothing has changed it.
func (r *Registry) publishFirst(ctx context.Context) {
	if r.Common.Clock.Sleep(ctx, firstWriteDelay) == nil {
		r.wakePublisher()
	}
}

// publish writes the own registration to the store after each change, until the context ends.
func (r *Registry) publish(ctx context.Context) {
	pause := minRetryPause
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for r.ownNotStored() {
			err := r.writeOwn(ctx)
			if err == nil {
				pause = minRetryPause
				continue
			}
			if ctx.Err() != nil {
				return
			}
			r.Common.Warn(event.RegistrationWriteFailed, common.Cause(err))
			if r.Common.Clock.Sleep(ctx, pause) != nil {
				return
			}
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// ownNotStored reports whether the own registration has changed since it was last stored.
func (r *Registry) ownNotStored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stored:
		return false
	default:
		return true
	}
}

// writeOwn writes the own registration to the store once. Its incarnation must be above that
// of the previous process, so the topic must have been read before.
func (r *Registry) writeOwn(ctx context.Context) error {
	ctx, cancel := r.Common.Clock.WithTimeout(ctx, r.Common.Mesh.Store.Timeout)
	defer cancel()
	if err := r.AwaitLoaded(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	own, settled := r.own, r.stored
	r.published = true
	r.mu.Unlock()
	raw, err := encode(own)
	if err != nil {
		return err
	}
	if err := r.Store.Put(ctx, keyed.Fleet, raw); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if settled == r.stored {
		close(settled)
	}
	return nil
}
