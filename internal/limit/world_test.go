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

// world is some daemons' lenders and limits over a fake network. A roster is in
// force two seconds after it is published.
type world struct {
	t      *testing.T
	limits settings.Account

	mu      sync.Mutex
	rng     *rand.Rand
	daemons []*daemon
	rosters []published
	// cut holds the directions in which messages are lost.
	cut map[[2]ids.Daemon]bool
	// repeats makes some questions arrive twice, the second time late.
	repeats  bool
	admitted []time.Time
	refused  int
}

type published struct {
	roster roster.Roster
	at     time.Time
}

// daemon is one daemon; it is the service "confirm", "tail" and "dial" of its kernel.
type daemon struct {
	world *world
	entry roster.Entry
	kern  *kernel.Kernel
	limit *limit.Limit
	lend  *lender.Lender
	state *replay.State

	mu    sync.Mutex
	away  bool
	asked time.Time
	// lag is how much later than in truth a roster is known to be in force.
	lag    time.Duration
	roster roster.Roster
}

func newWorld(t *testing.T, n int, a settings.Account) *world {
	w := &world{t: t, limits: a, rng: rand.New(rand.NewPCG(1, 2)), cut: map[[2]ids.Daemon]bool{}}
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
func (w *world) start(i int, run ids.Incarnation) *daemon {
	d := &daemon{world: w, lag: time.Duration(i%3) * time.Second, state: &replay.State{}, kern: &kernel.Kernel{}, entry: roster.Entry{
		Daemon: ids.Daemon(fmt.Sprintf("vm%d", i)), Incarnation: run, Centre: ids.Centre(fmt.Sprintf("dc%d", i%3)),
	}}
	values := map[string]string{"rate": fmt.Sprint(float64(w.limits.Rate)), "burst": fmt.Sprint(w.limits.Burst)}
	d.apply(1, "teams/root", map[string]string{"credential": hash})
	d.apply(2, "teams/andrade", map[string]string{"credential": hash})
	d.apply(3, "teams/andrade/accounts/school", values)
	c := common.Discard()
	d.limit, d.lend = &limit.Limit{Common: c}, &lender.Lender{Common: c}
	for _, s := range []service.Service{c.Clock, named{"tail", d}, named{"confirm", d}, named{"dial", d}, d.lend, d.limit} {
		d.kern.Add(s)
	}
	must.NoError(w.t, d.kern.Start(context.Background()))
	return d
}

const hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

func (d *daemon) apply(at ids.Offset, path ids.Path, values map[string]string) {
	out := d.state.Apply(at, record.Edit{ID: ids.Edit(path), Path: path, Values: values, Credential: hash})
	_, ok := out.(replay.Accepted)
	must.True(d.world.t, ok, must.Sprintf("%T %+v", out, out))
}

// named makes a daemon a service under one more name.
type named struct {
	name service.Name
	*daemon
}

func (n named) Name() service.Name                        { return n.name }
func (named) Needs() []service.Name                       { return nil }
func (named) Start(context.Context, service.Finder) error { return nil }
func (named) Stop(context.Context) error                  { return nil }
func (d *daemon) View(read func(*replay.State))           { read(d.state) }
func (d *daemon) Self() (ids.Daemon, ids.Incarnation)     { return d.entry.Daemon, d.entry.Incarnation }

func (d *daemon) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, errLost
}

// refresh confirms the daemon, unless it is away from the log.
func (d *daemon) refresh() {
	if d.away || time.Since(d.asked) < period/4 {
		return
	}
	d.asked = time.Now()
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	d.roster.Next = nil
	for _, p := range d.world.rosters {
		if time.Since(p.at) >= period+d.lag {
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
	return time.Since(d.asked) < period
}

func (d *daemon) Roster() roster.Roster {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	return d.roster
}

var errLost = errors.New("lost")

// Call implements peer.Caller with loss in each direction, delay and repeats.
func (d *daemon) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	w := d.world
	time.Sleep(delay)
	w.mu.Lock()
	lost := w.cut[[2]ids.Daemon{d.entry.Daemon, to}]
	back := w.cut[[2]ids.Daemon{to, d.entry.Daemon}]
	again := w.repeats && w.rng.IntN(4) == 0
	var peer *daemon
	for _, other := range w.daemons {
		if other.entry.Daemon == to {
			peer = other
		}
	}
	w.mu.Unlock()
	if lost || peer == nil {
		<-ctx.Done()
		return nil, errLost
	}
	reply := peer.lend.Lend(d.entry.Daemon, m.(message.Borrow))
	if again {
		time.AfterFunc(time.Second, func() { peer.lend.Lend(d.entry.Daemon, m.(message.Borrow)) })
	}
	if back {
		<-ctx.Done()
		return nil, errLost
	}
	time.Sleep(delay)
	return reply, nil
}

// publish makes a roster of the daemons given by their places, or of all.
func (w *world) publish(only ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := roster.Roster{Version: ids.Offset(len(w.rosters) + 1)}
	for i, d := range w.daemons {
		if len(only) == 0 || contains(only, i) {
			r.Entries = append(r.Entries, d.entry)
		}
	}
	w.rosters = append(w.rosters, published{roster: r, at: time.Now()})
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
func (w *world) send(i int, timeout time.Duration) error {
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
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	level, last := 0.0, time.Time{}
	for _, at := range w.admitted {
		if !last.IsZero() {
			level = max(0, level-float64(w.limits.Rate)*at.Sub(last).Seconds())
		}
		level++
		last = at
		must.LessEq(w.t, float64(w.limits.Burst)+0.01, level, must.Sprint("admitted more than rate x time + burst"))
	}
}

func (w *world) questions() int64 {
	var n int64
	for _, d := range w.daemons {
		n += d.limit.Questions()
	}
	return n
}

func newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 7)) }
