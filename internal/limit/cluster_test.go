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

// cluster runs the lenders and limiters of some daemons over a fake network and one log.
// A record is in force two seconds after it was published.
type cluster struct {
	t      *testing.T
	limits settings.Account
	// lag is the step by which the lags of the daemons differ.
	lag time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	daemons []*daemon
	log     []published
	// cut holds the directions in which messages are lost.
	cut map[[2]ids.Daemon]bool
	// duplicates makes some messages arrive twice, the second time late.
	duplicates bool
	admitted   []time.Time
	refused    int
}

// published is a record of the log. The first one has the offset 1.
type published struct {
	record record.Record
	at     time.Time
}

// daemon is one daemon. It stands in for the services "confirm", "tail", "force" and
// "dial" in its kernel.
type daemon struct {
	cluster *cluster
	entry   roster.Entry
	kern    *kernel.Kernel
	limit   *limit.Limiter
	lend    *lender.Lender
	state   *replay.State

	mu     sync.Mutex
	cutOff bool
	// stopped is set once the daemon has stopped. The cluster's lock guards it.
	stopped bool
	// handovers holds the handover messages that this daemon received.
	handovers []message.Handover
	// draining is set while callers use other daemons before this one stops.
	draining bool
	asked    time.Time
	// lag is how long after a record came into force this daemon knows it.
	lag   time.Duration
	force ids.Offset
}

func newCluster(t *testing.T, n int, a settings.Account) *cluster {
	return newClusterLag(t, n, a, time.Second)
}

func newClusterLag(t *testing.T, n int, a settings.Account, lag time.Duration) *cluster {
	c := &cluster{t: t, lag: lag, limits: a, rng: rand.New(rand.NewPCG(1, 2)), cut: map[[2]ids.Daemon]bool{}}
	c.edit("teams/root", map[string]string{"credential": hash})
	c.edit("teams/andrade", map[string]string{"credential": hash})
	c.edit(schoolPath, valuesOf(a))
	for i := range n {
		c.daemons = append(c.daemons, c.start(i, 1))
	}
	c.publish()
	t.Cleanup(func() {
		for _, d := range c.daemons {
			must.NoError(t, d.kern.Stop(time.Second))
		}
	})
	return c
}

// start runs daemon i with this incarnation.
func (c *cluster) start(i int, run ids.Incarnation) *daemon {
	d := &daemon{cluster: c, lag: time.Duration(i%3) * c.lag, state: &replay.State{}, kern: &kernel.Kernel{}, entry: roster.Entry{
		Daemon: ids.Daemon(fmt.Sprintf("vm%d", i)), Incarnation: run, Centre: ids.Centre(fmt.Sprintf("dc%d", i%3)),
	}}
	shared := common.Discard()
	d.limit, d.lend = &limit.Limiter{Common: shared}, &lender.Lender{Common: shared}
	for _, s := range []service.Service{shared.Clock, namedService{"tail", d}, namedService{"confirm", d}, namedService{"force", d}, namedService{"dial", d}, d.lend, d.limit} {
		d.kern.Add(s)
	}
	must.NoError(c.t, d.kern.Start(context.Background()))
	return d
}

const hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const schoolPath ids.Path = "teams/andrade/accounts/school"

func valuesOf(a settings.Account) map[string]string {
	return map[string]string{"rate": fmt.Sprint(float64(a.Rate)), "burst": fmt.Sprint(a.Burst)}
}

// edit publishes an edit of a section; nil values remove the section.
func (c *cluster) edit(path ids.Path, values map[string]string) ids.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.now()
	at := s.Offset() + 1
	e := record.Edit{
		ID: ids.Edit(fmt.Sprint(at)), Path: path, Base: s.Version(path), Credential: hash,
		Values: values, Remove: values == nil,
	}
	out := s.Apply(at, e)
	_, ok := out.(replay.Accepted)
	must.True(c.t, ok, must.Sprintf("%T %+v", out, out))
	c.log = append(c.log, published{record: e, at: time.Now()})
	return at
}

// now returns the state after the whole log. The caller holds the lock.
func (c *cluster) now() *replay.State {
	s := &replay.State{}
	for i, p := range c.log {
		s.Apply(ids.Offset(i+1), p.record)
	}
	return s
}

// namedService registers a daemon under the name of a service.
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

// refresh reads the log and renews the read lease, unless the daemon is cut off from the
// log.
func (d *daemon) refresh() {
	if d.cutOff || time.Since(d.asked) < period/4 {
		return
	}
	d.asked = time.Now()
	d.cluster.mu.Lock()
	defer d.cluster.mu.Unlock()
	for i, p := range d.cluster.log {
		at := ids.Offset(i + 1)
		d.state.Apply(at, p.record)
		if time.Since(p.at) >= period+d.lag {
			d.force = max(d.force, at)
		}
	}
}

// View passes the state as of the last refresh to read.
func (d *daemon) View(read func(*replay.State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	read(d.state)
}

// Newest returns the newest offset that is known to be in force.
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
	rosters, _ := d.state.Rosters()
	for i := len(rosters) - 1; i >= 0; i-- {
		if rosters[i].Version <= d.force {
			r := rosters[i]
			r.Next = rosters[i+1:]
			return r
		}
	}
	return roster.Roster{}
}

var errLost = errors.New("lost")

// Call implements peer.Caller with delays, losses in each direction and duplicates.
func (d *daemon) Call(ctx context.Context, to ids.Daemon, m message.Message) (message.Message, error) {
	c := d.cluster
	time.Sleep(delay)
	c.mu.Lock()
	lost := c.cut[[2]ids.Daemon{d.entry.Daemon, to}]
	back := c.cut[[2]ids.Daemon{to, d.entry.Daemon}]
	again := c.duplicates && c.rng.IntN(4) == 0
	var peer *daemon
	for _, other := range c.daemons {
		if other.entry.Daemon == to && !other.stopped {
			peer = other
		}
	}
	c.mu.Unlock()
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
		d.cluster.mu.Lock()
		d.handovers = append(d.handovers, m)
		d.cluster.mu.Unlock()
		return d.lend.AcceptHandover(m)
	default:
		panic(fmt.Sprintf("unexpected %T", m))
	}
}

// publish publishes a roster of the daemons with these indices, or of all.
func (c *cluster) publish(members ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var change record.Roster
	if rosters, _ := c.now().Rosters(); len(rosters) > 0 {
		change.Base = rosters[len(rosters)-1].Version
	}
	for i, d := range c.daemons {
		if len(members) == 0 || contains(members, i) {
			change.Put = append(change.Put, d.entry)
		} else {
			change.Remove = append(change.Remove, d.entry.Daemon)
		}
	}
	c.log = append(c.log, published{record: change, at: time.Now()})
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
func (c *cluster) send(i int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.mu.Lock()
	d := c.daemons[i]
	c.mu.Unlock()
	if !d.Confirmed() {
		return errLost
	}
	err := d.limit.Admit(ctx, school, c.limits)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.admitted = append(c.admitted, time.Now())
	} else {
		c.refused++
	}
	return err
}

// check counts the admissions of every interval against rate x time + burst.
func (c *cluster) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	level, last := 0.0, time.Time{}
	for _, at := range c.admitted {
		if !last.IsZero() {
			level = max(0, level-float64(c.limits.Rate)*at.Sub(last).Seconds())
		}
		level++
		last = at
		must.LessEq(c.t, float64(c.limits.Burst)+0.01, level, must.Sprint("admitted more than rate x time + burst", c.limits))
	}
}

func (c *cluster) requests() int64 {
	var n int64
	for _, d := range c.daemons {
		n += d.limit.RequestCount()
	}
	return n
}

func newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 7)) }
