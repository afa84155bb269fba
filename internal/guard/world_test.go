package guard_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/guard"
	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	leaseDuration = 2 * time.Second
	delay         = time.Millisecond
)

var errLost = errors.New("lost")

// world runs the guards of several daemons over a fake network. A roster is in force
// two seconds after it is published.
type world struct {
	t *testing.T

	mu      sync.Mutex
	rng     *rand.Rand
	daemons []*daemon
	rosters []publication
	cut     map[[2]ids.Daemon]bool
	// late makes some of the lost messages arrive after their sender has timed out.
	late bool
	// pending counts the late messages that have not been answered yet.
	pending sync.WaitGroup
	runs    map[string]int
}

type publication struct {
	roster      roster.Roster
	publishedAt time.Time
}

type daemon struct {
	world  *world
	entry  roster.Entry
	kernel *kernel.Kernel
	guard  *guard.Guard

	mu             sync.Mutex
	logUnreachable bool
	refreshedAt    time.Time
	// lag is the time from when a roster is in force until this daemon knows it.
	lag    time.Duration
	roster roster.Roster
}

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(1, 2)), cut: map[[2]ids.Daemon]bool{}, runs: map[string]int{}}
	for i := range n {
		w.daemons = append(w.daemons, w.start(i, 1))
	}
	w.publish()
	t.Cleanup(func() {
		for _, d := range w.daemons {
			must.NoError(t, d.kernel.Stop(5*time.Second))
		}
		// Virtual time stops once the test has returned, so late messages must be
		// answered before.
		w.pending.Wait()
	})
	return w
}

func (w *world) start(i int, incarnation ids.Incarnation) *daemon {
	d := &daemon{world: w, lag: time.Duration(i%3) * time.Second, kernel: &kernel.Kernel{}, entry: roster.Entry{
		Daemon: ids.Daemon(fmt.Sprintf("vm%d", i)), Incarnation: incarnation, Centre: ids.Centre(fmt.Sprintf("dc%d", i%3)),
	}}
	c := common.Discard()
	d.guard = &guard.Guard{Common: c}
	for _, s := range []service.Service{c.Clock, named{"tail", d}, named{"confirm", d}, named{"dial", d}, d.guard} {
		d.kernel.Add(s)
	}
	must.NoError(w.t, d.kernel.Start(context.Background()))
	return d
}

// named registers a daemon as a service under one more name.
type named struct {
	name service.Name
	*daemon
}

func (n named) Name() service.Name                        { return n.name }
func (named) Needs() []service.Name                       { return nil }
func (named) Start(context.Context, service.Finder) error { return nil }
func (named) Stop(context.Context) error                  { return nil }
func (d *daemon) Self() (ids.Daemon, ids.Incarnation)     { return d.entry.Daemon, d.entry.Incarnation }

// View implements guard.Viewer with the rosters published up to the last refresh.
func (d *daemon) View(read func(*replay.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var s replay.State
	var old roster.Roster
	for _, p := range d.world.publishedUntil(d.refreshedAt) {
		change := record.Roster{Base: old.Version, Put: p.roster.Entries}
		for _, e := range old.Entries {
			if _, ok := p.roster.Find(e.Daemon); !ok {
				change.Remove = append(change.Remove, e.Daemon)
			}
		}
		s.Apply(p.roster.Version, change)
		old = p.roster
	}
	read(&s)
}

func (d *daemon) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errLost
}

func (d *daemon) refresh() {
	if d.logUnreachable || time.Since(d.refreshedAt) < leaseDuration/4 {
		return
	}
	d.refreshedAt = time.Now()
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	d.roster.Next = nil
	for _, p := range d.world.rosters {
		if time.Since(p.publishedAt) >= leaseDuration+d.lag {
			d.roster = p.roster
		} else {
			d.roster.Next = append(d.roster.Next, p.roster)
		}
	}
}

func (d *daemon) Confirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return time.Since(d.refreshedAt) < leaseDuration
}

func (d *daemon) Roster() roster.Roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return d.roster
}

// Call implements peer.Caller. Messages and replies get lost on links that are cut in
// their direction, and some of the lost messages arrive late.
func (d *daemon) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	w := d.world
	time.Sleep(delay)
	w.mu.Lock()
	requestLost := w.cut[[2]ids.Daemon{d.entry.Daemon, to}]
	replyLost := w.cut[[2]ids.Daemon{to, d.entry.Daemon}]
	late := w.late && w.rng.IntN(2) == 0
	var peer *daemon
	for _, other := range w.daemons {
		if other.entry.Daemon == to {
			peer = other
		}
	}
	w.mu.Unlock()
	if requestLost || peer == nil {
		if late && peer != nil {
			w.sendLate(peer, d.entry.Daemon, m)
		}
		<-ctx.Done()
		return nil, errLost
	}
	reply := peer.answer(ctx, d.entry.Daemon, m)
	if replyLost {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(delay)
	return reply, nil
}

// sendLate delivers a message 3 s later, after its sender has timed out.
func (w *world) sendLate(peer *daemon, from ids.Daemon, m message.Message) {
	w.pending.Add(1)
	time.AfterFunc(3*time.Second, func() {
		defer w.pending.Done()
		peer.answer(context.Background(), from, m)
	})
}

func (d *daemon) answer(ctx context.Context, from ids.Daemon, m message.Message) message.Message {
	switch m := m.(type) {
	case message.GuardBegin:
		return d.guard.HandleBegin(ctx, m)
	case message.GuardLookup:
		return d.guard.HandleLookup(m)
	case message.GuardCopy:
		return d.guard.HandleCopy(from, m)
	case message.GuardEnd:
		return d.guard.HandleEnd(ctx, from, m)
	default:
		panic(fmt.Sprintf("unexpected %T", m))
	}
}

// publish adds a roster of the daemons with the given indices, or of all daemons.
func (w *world) publish(only ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := roster.Roster{Version: ids.Offset(len(w.rosters) + 1)}
	for i, d := range w.daemons {
		keep := len(only) == 0
		for _, n := range only {
			keep = keep || n == i
		}
		if keep {
			r.Entries = append(r.Entries, d.entry)
		}
	}
	w.rosters = append(w.rosters, publication{roster: r, publishedAt: time.Now()})
}

// try begins an attempt at daemon i and counts it when it is granted.
func (w *world) try(i int, key string, digest ids.Hash) (idempotency.Attempt, idempotency.Outcome) {
	w.mu.Lock()
	d := w.daemons[i]
	w.mu.Unlock()
	attempt, outcome := d.guard.Begin(context.Background(), idempotency.Key{Account: "andrade/school", Key: key}, digest)
	if _, ok := outcome.(idempotency.Granted); ok {
		w.mu.Lock()
		w.runs[key]++
		w.mu.Unlock()
	}
	return attempt, outcome
}

// publishedUntil returns the rosters that were published up to an instant.
func (w *world) publishedUntil(until time.Time) []publication {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []publication
	for _, p := range w.rosters {
		if !p.publishedAt.After(until) {
			list = append(list, p)
		}
	}
	return list
}
