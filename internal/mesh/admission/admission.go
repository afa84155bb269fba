// Package admission lets requests wait for room in a service that is short of it, in one place at the
// daemon of their caller.
//
// # Usage
//
//	turn, err := a.Wait(ctx, service, entry) // blocks until it is the request's turn
//	turn.End(waitlist.Granted)               // a gatekeeper had room
//	turn.End(waitlist.Declined)              // none had
//
// Package waitlist decides on the order. Each request waits in its own task. The service does nothing
// unless the settings name the term for it.
package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/waitlist"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// ErrTooLate is returned for a request whose turn would come, or has come, too late.
var ErrTooLate = errorx.TimeoutElapsed.New("there is no room in the service in time")

// Admission holds the requests that wait. Its methods may be called from several goroutines.
type Admission struct {
	Common *common.Common

	mu    sync.Mutex
	lists map[ids.Service]*list
	// tickets holds what wakes the task of each waiting request.
	tickets map[*waitlist.Entry]chan struct{}
}

// list is the list of one service.
type list struct {
	waitlist.List
	// short is set while requests wait, for the log.
	short bool
	// waking is set while a task waits for the end of a pause.
	waking bool
}

// Name implements service.Service.
func (a *Admission) Name() service.Name { return "admission" }

// Needs implements service.Service.
func (a *Admission) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (a *Admission) Start(context.Context, service.Finder) error {
	return errors.Join(metric.AdmissionWaiting.Follow(a.Common.Metrics, func() int64 { return int64(a.countWaiting()) }))
}

// Stop implements service.Service.
func (a *Admission) Stop(context.Context) error { return nil }

// Enabled reports whether requests wait for room here.
func (a *Admission) Enabled() bool { return a.Common.Mesh.Admission.Enabled() }

// Short reports whether requests wait for room in the service, so that newcomers have to wait too.
func (a *Admission) Short(s ids.Service) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.lists[s]
	return ok && l.Short()
}

func (a *Admission) countWaiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tickets)
}

// Turn is the permission to offer a request. It must end with End.
type Turn struct {
	admission *Admission
	service   ids.Service
	entry     *waitlist.Entry
	once      sync.Once
}

// End records what became of the request. Only the first call counts.
func (t *Turn) End(r waitlist.Result) {
	t.once.Do(func() {
		a := t.admission
		a.mu.Lock()
		defer a.mu.Unlock()
		l := a.listOf(t.service)
		l.End(t.entry, r, a.Common.Clock.Now())
		a.wake(t.service, l)
	})
}

// Wait blocks until it is the request's turn, or returns ErrTooLate or the context's error.
func (a *Admission) Wait(ctx context.Context, s ids.Service, e *waitlist.Entry) (*Turn, error) {
	return a.wait(ctx, s, e, (*waitlist.List).Add)
}

// WaitAgain is Wait for a request that has had a turn and found no room.
func (a *Admission) WaitAgain(ctx context.Context, s ids.Service, e *waitlist.Entry) (*Turn, error) {
	return a.wait(ctx, s, e, (*waitlist.List).Again)
}

// adder adds a request to a list and reports whether its turn can come in time.
type adder func(*waitlist.List, *waitlist.Entry, units.Instant) bool

func (a *Admission) wait(ctx context.Context, s ids.Service, e *waitlist.Entry, add adder) (*Turn, error) {
	now := a.Common.Clock.Now()
	ticket := make(chan struct{})
	a.mu.Lock()
	l := a.listOf(s)
	if !add(&l.List, e, now) {
		a.mu.Unlock()
		metric.AdmissionRejected.Counter(a.Common.Metrics).Inc(1)
		return nil, ErrTooLate
	}
	a.tickets[e] = ticket
	a.wake(s, l)
	a.mu.Unlock()
	limited, cancel := a.Common.Clock.WithTimeout(ctx, e.Latest.Sub(now))
	defer cancel()
	turn := &Turn{admission: a, service: s, entry: e}
	select {
	case <-ticket:
		return turn, nil
	case <-limited.Done():
		return nil, a.leave(ctx, turn, l)
	}
}

// leave removes a request that has waited for too long.
func (a *Admission) leave(ctx context.Context, t *Turn, l *list) error {
	a.mu.Lock()
	waiting := l.Remove(t.entry)
	delete(a.tickets, t.entry)
	a.log(t.service, l)
	a.mu.Unlock()
	if !waiting {
		// Its turn has just come.
		t.End(waitlist.Left)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return ErrTooLate
}

// RetryAfter returns when a caller that was refused may come back: when there will be room, as far as
// is known, spread so that callers don't return together.
func (a *Admission) RetryAfter(s ids.Service, account ids.Account, rank ids.Rank) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := max(a.listOf(s).Wait(account, rank, a.Common.Clock.Now()), minRetryAfter)
	return wait/2 + rand.N(wait)
}

// minRetryAfter is the least time after which a refused caller may come back, on average.
const minRetryAfter = 500 * time.Millisecond

// listOf returns the list of the service. The caller holds the lock.
func (a *Admission) listOf(s ids.Service) *list {
	if a.lists == nil {
		a.lists, a.tickets = map[ids.Service]*list{}, map[*waitlist.Entry]chan struct{}{}
	}
	l, ok := a.lists[s]
	if !ok {
		l = &list{}
		a.lists[s] = l
	}
	return l
}

// wake wakes the requests whose turn it is, and sees to it that the others are woken after a pause.
// The caller holds the lock.
func (a *Admission) wake(s ids.Service, l *list) {
	now := a.Common.Clock.Now()
	for _, e := range l.Next(now) {
		close(a.tickets[e])
		delete(a.tickets, e)
	}
	a.log(s, l)
	pause := l.PauseLeft(now)
	if pause <= 0 || l.waking {
		return
	}
	l.waking = true
	go func() {
		_ = a.Common.Clock.Sleep(context.Background(), pause)
		a.mu.Lock()
		defer a.mu.Unlock()
		l.waking = false
		a.wake(s, l)
	}()
}

// log logs that a service became short of room, or has room again. The caller holds the lock.
func (a *Admission) log(s ids.Service, l *list) {
	if short := l.Short(); short != l.short {
		l.short = short
		e := event.RoomReturned
		if short {
			e = event.RoomShort
		}
		a.Common.Info(e, zap.String("service", string(s)), zap.Int("waiting", l.Len()))
	}
}
