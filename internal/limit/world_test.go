package limit_test

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
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/limit"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	school ids.Account = "andrade/school"
	period             = 2 * time.Second
	delay              = time.Millisecond
)

// cluster is some daemons' lenders and limits over a fake network and one log. A
// record is in force two seconds after it was published.
type cluster struct {
	t      *testing.T
	limits settings.Account
	// lag is the unit of the daemons' lags.
	lag time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	daemons []*daemon
	log     []published
	// cut holds the directions in which messages are lost.
	cut map[[2]ids.Daemon]bool
	// duplicates makes some questions arrive twice, the second time late.
	duplicates bool
	admitted   []time.Time
	refused    int
}

// published is the record at an offset; that of the first is 1.
type published struct {
	record record.Record
	at     time.Time
}

// daemon is one daemon; it is the service "confirm", "tail" and "dial" of its kernel.
type daemon struct {
	world *cluster
	entry roster.Entry
	kern  *kernel.Kernel
	limit *limit.Limiter
	lend  *lender.Lender
	state *replay.State

	mu     sync.Mutex
	cutOff bool
	// stopped is set once the daemon has stopped; it is guarded by the world's lock.
	stopped bool
	// handovers holds the balances that were handed to this daemon.
	handovers []message.Handover
	// draining is set while callers go elsewhere.
	draining bool
	asked    time.Time
	// lag is how much later than in truth a record is known to be in force.
	lag   time.Duration
	force ids.Offset
}

func newWorld(t *testing.T, n int, a settings.Account) *cluster {
	return newWorldLag(t, n, a, time.Second)
}

func newWorldLag(t *testing.T, n int, a settings.Account, lag time.Duration) *cluster {
	w := &cluster{t: t, lag: lag, limits: a, rng: rand.New(rand.NewPCG(1, 2)), cut: map[[2]ids.Daemon]bool{}}
	w.edit("teams/root", map[string]string{"credential": hash})
	w.edit("teams/andrade", map[string]string{"credential": hash})
	w.edit(schoolPath, valuesOf(a))
	for i := range n {
		w.daemons = append(w.daemons, w.start(i, 1))
	}
	w.publish()
	t.Cleanup(func() {
		for _, d := range w.daemons {
			must.NoError(t, d.kern.Stop(time.Second))
		}
	})
	return w
}

// start runs daemon i. Its key "run" tells its restarts apart.
func (w *cluster) start(i int, run ids.Incarnation) *daemon {
	d := &daemon{world: w, lag: time.Duration(i%3) * w.lag, state: &replay.State{}, kern: &kernel.Kernel{}, entry: roster.Entry{
		Daemon: ids.Daemon(fmt.Sprintf("vm%d", i)), Incarnation: run, Centre: ids.Centre(fmt.Sprintf("dc%d", i%3)),
	}}
	c := common.Discard()
	d.limit, d.lend = &limit.Limiter{Common: c}, &lender.Lender{Common: c}
	for _, s := range []service.Service{c.Clock, namedService{"tail", d}, namedService{"confirm", d}, namedService{"force", d}, namedService{"dial", d}, d.lend, d.limit} {
		d.kern.Add(s)
	}
	must.NoError(w.t, d.kern.Start(context.Background()))
	return d
}

const hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const schoolPath ids.Path = "teams/andrade/accounts/school"

func valuesOf(a settings.Account) map[string]string {
	return map[string]string{"rate": fmt.Sprint(float64(a.Rate)), "burst": fmt.Sprint(a.Burst)}
}

// edit publishes an edit of a section; nil values remove it.
func (w *cluster) edit(path ids.Path, values map[string]string) ids.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.now()
	at := s.Offset() + 1
	e := record.Edit{
		ID: ids.Edit(fmt.Sprint(at)), Path: path, Base: s.Version(path), Credential: hash,
		Values: values, Remove: values == nil,
	}
	out := s.Apply(at, e)
	_, ok := out.(replay.Accepted)
	must.True(w.t, ok, must.Sprintf("%T %+v", out, out))
	w.log = append(w.log, published{record: e, at: time.Now()})
	return at
}

// now returns the state as of the whole log; the caller holds the lock.
func (w *cluster) now() *replay.State {
	s := &replay.State{}
	for i, p := range w.log {
		s.Apply(ids.Offset(i+1), p.record)
	}
	return s
}

// namedService makes a daemon a service under one more name.
type namedService struct {
	name service.Name
	*daemon
}

func (n namedService) Name() service.Name                        { return n.name }
func (namedService) Needs() []service.Name                       { return nil }
func (namedService) Start(context.Context, service.Finder) error { return nil }
func (namedService) Stop(context.Context) error                  { return nil }
func (d *daemon) Self() (ids.Daemon, ids.Incarnation)            { return d.entry.Daemon, d.entry.Incarnation }

func (d *daemon) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errLost
}

// refresh confirms the daemon, unless it is away from the log.
func (d *daemon) refresh() {
	if d.cutOff || time.Since(d.asked) < period/4 {
		return
	}
	d.asked = time.Now()
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	for i, p := range d.world.log {
		at := ids.Offset(i + 1)
		d.state.Apply(at, p.record)
		if time.Since(p.at) >= period+d.lag {
			d.force = max(d.force, at)
		}
	}
}

// View shows the state as of the last confirmation.
func (d *daemon) View(read func(*replay.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	read(d.state)
}

// Newest returns the newest offset known to be in force.
func (d *daemon) Newest() ids.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return d.force
}

func (d *daemon) Confirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return time.Since(d.asked) < period
}

func (d *daemon) Roster() roster.Roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	kept, _ := d.state.Rosters()
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].Version <= d.force {
			r := kept[i]
			r.Next = kept[i+1:]
			return r
		}
	}
	return roster.Roster{}
}

var errLost = errors.New("lost")

// Call implements peer.Caller with loss in each direction, delay and repeats.
func (d *daemon) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	w := d.world
	time.Sleep(delay)
	w.mu.Lock()
	lost := w.cut[[2]ids.Daemon{d.entry.Daemon, to}]
	back := w.cut[[2]ids.Daemon{to, d.entry.Daemon}]
	again := w.duplicates && w.rng.IntN(4) == 0
	var peer *daemon
	for _, other := range w.daemons {
		if other.entry.Daemon == to && !other.stopped {
			peer = other
		}
	}
	w.mu.Unlock()
	if lost || peer == nil {
		<-ctx.Done()
		return nil, errLost
	}
	reply := peer.answer(d.entry.Daemon, m)
	if again {
		time.AfterFunc(time.Second, func() { peer.answer(d.entry.Daemon, m) })
	}
	if back {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(delay)
	return reply, nil
}

func (d *daemon) answer(from ids.Daemon, m message.Message) message.Message {
	switch m := m.(type) {
	case message.Borrow:
		return d.lend.Lend(from, m)
	case message.Handover:
		d.world.mu.Lock()
		d.handovers = append(d.handovers, m)
		d.world.mu.Unlock()
		return d.lend.AcceptHandover(m)
	default:
		panic(fmt.Sprintf("unexpected %T", m))
	}
}

// publish makes a roster of the daemons given by their places, or of all.
func (w *cluster) publish(only ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var change record.Roster
	if kept, _ := w.now().Rosters(); len(kept) > 0 {
		change.Base = kept[len(kept)-1].Version
	}
	for i, d := range w.daemons {
		if len(only) == 0 || contains(only, i) {
			change.Put = append(change.Put, d.entry)
		} else {
			change.Remove = append(change.Remove, d.entry.Daemon)
		}
	}
	w.log = append(w.log, published{record: change, at: time.Now()})
}

func contains(list []int, i int) bool {
	for _, n := range list {
		if n == i {
			return true
		}
	}
	return false
}

// send sends one request through daemon i with a deadline.
func (w *cluster) send(i int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	w.mu.Lock()
	d := w.daemons[i]
	w.mu.Unlock()
	if !d.Confirmed() {
		return errLost
	}
	err := d.limit.Admit(ctx, school, w.limits)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.admitted = append(w.admitted, time.Now())
	} else {
		w.refused++
	}
	return err
}

// check counts the admissions of every interval against rate x time + burst.
func (w *cluster) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	level, last := 0.0, time.Time{}
	for _, at := range w.admitted {
		if !last.IsZero() {
			level = max(0, level-float64(w.limits.Rate)*at.Sub(last).Seconds())
		}
		level++
		last = at
		must.LessEq(w.t, float64(w.limits.Burst)+0.01, level, must.Sprint("admitted more than rate x time + burst", w.limits))
	}
}

func (w *cluster) requests() int64 {
	var n int64
	for _, d := range w.daemons {
		n += d.limit.RequestCount()
	}
	return n
}

func newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 7)) }
