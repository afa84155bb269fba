package feed_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/config"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/feed"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/keyedstub"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/mesh/readers"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
)

// reportInterval returns the time between two load reports in a data centre of n daemons, at most
// that of the users' largest one, which has 154.
func reportInterval(n int) time.Duration {
	return min(time.Duration(n)*4*time.Millisecond, 616*time.Millisecond)
}

var errLost = errorx.ExternalError.New("no answer")

// daemon is one daemon of a simulated data centre.
type daemon struct {
	address  ids.Address
	clock    *timer.Timer
	config   *config.Config
	registry *registry.Registry
	feed     *feed.Feed
	// lost daemons neither send nor answer.
	lost  atomic.Bool
	store *path
	stop  context.CancelFunc
}

// path is the way of one daemon to the store.
type path struct {
	*keyedstub.Stub
	// refused calls fail at once; calls over a mute path get no answer.
	refused, mute atomic.Bool
	// older, if it is set, answers in place of the store.
	older atomic.Pointer[keyedstub.Stub]
	// silences is incremented when the answers to all reads in progress get lost.
	silences atomic.Int64
}

func (p *path) Read(ctx context.Context, t keyed.Topic, from ids.Offset, wait time.Duration) (keyed.Page, error) {
	if p.refused.Load() {
		return keyed.Page{}, errLost
	}
	silences := p.silences.Load()
	page, err := p.stub().Read(ctx, t, from, wait)
	if p.mute.Load() || p.silences.Load() != silences {
		<-ctx.Done()
		return keyed.Page{}, ctx.Err()
	}
	return page, err
}

// stub returns what answers the calls.
func (p *path) stub() *keyedstub.Stub {
	if s := p.older.Load(); s != nil {
		return s
	}
	return p.Stub
}

func (p *path) Newest(ctx context.Context, t keyed.Topic) (keyed.Page, error) {
	return p.stub().Newest(ctx, t)
}

// behind makes calls reach the store as it is now for 3 s.
func (p *path) behind(t *testing.T) {
	t.Helper()
	copied := &keyedstub.Stub{}
	for _, topic := range []keyed.Topic{keyed.Settings, keyed.Fleet} {
		page, err := p.Stub.Newest(t.Context(), topic)
		must.NoError(t, err)
		for _, r := range page.Records {
			must.NoError(t, copied.Put(t.Context(), topic, r))
		}
	}
	p.older.Store(copied)
	time.AfterFunc(3*time.Second, func() { p.older.Store(nil) })
}

// fleet is a data centre of daemons in virtual time.
type fleet struct {
	store *keyedstub.Stub

	// mu guards the daemons, which start while others report.
	mu      sync.Mutex
	daemons map[ids.Address]*daemon
	list    []*daemon
}

// all returns the daemons that have been started.
func (f *fleet) all() []*daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

// find returns the daemon at the address.
func (f *fleet) find(a ids.Address) (*daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[a]
	return d, ok
}

// Call delivers a message to another daemon.
func (f *fleet) Call(_ context.Context, to ids.Address, m link.Message) (link.Message, error) {
	d, ok := f.find(to)
	fetch, isFetch := m.(link.Fetch)
	if !ok || !isFetch || d.lost.Load() {
		return nil, errLost
	}
	return d.feed.HandleFetch(fetch), nil
}

// start adds a daemon that has nothing but its settings.
func (f *fleet) start(t *testing.T, i int) *daemon {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	c := common.Discard()
	d := &daemon{clock: c.Clock, address: ids.Address(fmt.Sprintf("10.0.%d.%d:70", i/250, i%250+1)), store: &path{Stub: f.store}, stop: stop}
	c.Mesh.Sockets.Peers, c.Mesh.Identity = d.address, settings.Identity{Daemon: ids.Daemon(fmt.Sprint("vm", i)), Centre: "quito"}
	c.Mesh.Store.Timeout, c.Mesh.Store.Wait = time.Second, 30*time.Second
	d.registry = &registry.Registry{Common: c, Store: d.store}
	d.feed = &feed.Feed{Common: c, Link: f}
	var k kernel.Kernel
	k.Add(c.Clock)
	k.Add(d.registry)
	d.config = &config.Config{Common: c, Store: d.store, Read: func(raw []byte) (*policy.Policy, error) {
		b := policy.Builder{Version: ids.Version(raw[0])}
		return b.Policy(), nil
	}}
	k.Add(&evacuation.Table{Common: c})
	k.Add(d.config)
	k.Add(&link.Link{})
	k.Add(d.feed)
	must.NoError(t, k.Start(ctx))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[d.address] = d
	f.list = append(f.list, d)
	return d
}

// phases is how many groups of daemons report one after the other in each interval.
const phases = 10

// report exchanges load reports until the context ends.
func (f *fleet) report(ctx context.Context) {
	for phase := 0; ctx.Err() == nil; phase++ {
		time.Sleep(reportInterval(len(f.all())) / phases)
		all := f.all()
		for i := phase % phases; i < len(all); i += phases {
			reportOf(all[i], all)
		}
	}
}

// reportOf delivers the load report of one daemon to all others.
func reportOf(from *daemon, all []*daemon) {
	if from.lost.Load() {
		return
	}
	said := from.feed.Progress()
	for _, to := range all {
		if from != to && !to.lost.Load() {
			to.feed.Observe(from.address, said)
		}
	}
}

// run starts n daemons at once, waits until they know each other and runs the test.
func run(t *testing.T, n int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := &fleet{store: &keyedstub.Stub{}, daemons: map[ids.Address]*daemon{}}
		for i := range n {
			f.start(t, i)
		}
		defer func() {
			stop()
			for _, d := range f.list {
				d.stop()
			}
			time.Sleep(time.Second)
		}()
		go f.report(ctx)
		time.Sleep(4 * time.Second)
		for _, d := range f.list {
			must.SliceLen(t, n, d.registry.All())
		}
		test(t, f)
	})
}

// announce changes one daemon's registration and returns how long it takes until all others
// that are not lost know it.
func (f *fleet) announce(t *testing.T, from *daemon, target ids.Target) time.Duration {
	t.Helper()
	began := time.Now()
	from.registry.UpdateOwn(func(own *registry.Registration) {
		own.Target, own.Service, own.State = target, "quotes", registry.Ready
	})
	for time.Since(began) < 30*time.Second {
		if f.allKnow(from, target) {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// targetOf returns the target that the daemon knows to serve at the address.
func (d *daemon) targetOf(a ids.Address) ids.Target {
	for _, reg := range d.registry.Serving("quotes") {
		if reg.Address == a {
			return reg.Target
		}
	}
	return ""
}

func (f *fleet) allKnow(from *daemon, target ids.Target) bool {
	for _, d := range f.list {
		if !d.lost.Load() && d.targetOf(from.address) != target {
			return false
		}
	}
	return true
}

// configure publishes a version of the configuration with a document of n bytes, and returns how
// long it takes until it is in force at all daemons that are not lost.
func (f *fleet) configure(t *testing.T, version byte, n int) time.Duration {
	t.Helper()
	began := time.Now()
	document := append([]byte{version}, make([]byte, n)...)
	must.NoError(t, f.store.Put(t.Context(), keyed.Settings, keyed.Record{Key: config.Key, Value: document}))
	for time.Since(began) < 30*time.Second && !f.allApply(ids.Version(version)) {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (f *fleet) allApply(v ids.Version) bool {
	for _, d := range f.list {
		if !d.lost.Load() && d.config.Version() != v {
			return false
		}
	}
	return true
}

// reading returns the daemons that read the store.
func (f *fleet) reading() []*daemon {
	var list []*daemon
	for _, d := range f.list {
		if !d.lost.Load() && d.feed.Progress()[keyed.Fleet].Reads {
			list = append(list, d)
		}
	}
	return list
}

// sizes are those of the users' smallest and largest fleets.
var sizes = []int{30, 300}

// newsBound is by when every daemon must know a change: 1 s for gathering news, which both the
// writer's change and the one before may cost, and a round of reports.
const newsBound = 3 * time.Second

// configApply is the users' strictest bound for a configuration to be in force.
const configApply = 2 * time.Second

// Load pattern: registrations that change all the time in a large fleet. What the fleet costs
// the store does not depend on the number of its daemons, and everyone learns of a change.
func TestCallsDontGrowWithTheFleet(t *testing.T) {
	const changes = 3
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			run(t, n, func(t *testing.T, f *fleet) {
				before := f.store.Calls()
				time.Sleep(6 * time.Second)
				// Two readers of two topics, which wait for 1 s and for 3 s.
				must.LessEq(t, 2*(6/1+6/3)+4, f.store.Calls()-before)
				before = f.store.Calls()
				for i := range changes {
					must.Less(t, newsBound, f.announce(t, f.list[i*n/changes], ids.Target(fmt.Sprint("i-", i))))
				}
				// Each change is one write and at most two reads of each reader.
				must.LessEq(t, changes*(1+4)+2*2*3, f.store.Calls()-before)
				before = f.store.Calls()
				must.Less(t, configApply, f.configure(t, 1, 3000))
				must.Less(t, configApply, f.configure(t, 2, 30000))
				must.LessEq(t, 2*(1+4)+4, f.store.Calls()-before)
				// A document that takes the slowest links long is read from the store in the end.
				must.Less(t, configApply, f.configure(t, 3, 250000))
			})
		})
	}
}

// Readers that are lost, refused by the store, or get no answers are replaced.
func TestReadersAreReplaced(t *testing.T) {
	faults := map[string]func(*daemon){
		"lost":    func(d *daemon) { d.lost.Store(true) },
		"refused": func(d *daemon) { d.store.refused.Store(true) },
		"mute":    func(d *daemon) { d.store.mute.Store(true) },
	}
	// longer is what the change after the fault may take beyond newsBound: the claim of a lost
	// reader lasts for a while, that of one whose reads get no answer as long as a read may take.
	longer := map[string]func(n int) time.Duration{
		"lost":    readers.ClaimTTL,
		"refused": readers.ClaimTTL,
		"mute":    func(int) time.Duration { return 5 * time.Second },
	}
	for name, fault := range faults {
		for _, n := range sizes {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				run(t, n, func(t *testing.T, f *fleet) {
					old := f.reading()
					must.SliceLen(t, 2, old)
					for _, d := range old {
						fault(d)
					}
					writer := f.list[0]
					for _, d := range f.list {
						if d != old[0] && d != old[1] {
							writer = d
						}
					}
					must.Less(t, newsBound+longer[name](n), f.announce(t, writer, "i-1"))
					if name != "mute" {
						must.Less(t, configApply, f.configure(t, 1, 3000))
					}
					time.Sleep(4 * time.Second)
					must.GreaterEq(t, 2, len(f.reading()))
					must.LessEq(t, 4, len(f.reading()))
				})
			})
		}
	}
}

// A daemon that starts later, and one that hears nobody, know everything too.
func TestLateAndDeafDaemons(t *testing.T) {
	run(t, 30, func(t *testing.T, f *fleet) {
		late := f.start(t, 30)
		time.Sleep(5 * time.Second)
		must.SliceLen(t, 31, late.registry.All())
		must.Less(t, newsBound, f.announce(t, f.list[3], "i-1"))
		deaf := f.list[5]
		deaf.lost.Store(true)
		time.Sleep(3 * time.Second)
		must.Less(t, newsBound, f.announce(t, f.list[4], "i-2"))
		time.Sleep(3 * time.Second)
		must.EqOp(t, "i-2", deaf.targetOf(f.list[4].address))
	})
}

// An outage of the store for all: nobody claims to read, and the change is known soon after.
func TestOutageOfTheStore(t *testing.T) {
	run(t, 30, func(t *testing.T, f *fleet) {
		f.store.SetUnavailable(true)
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, f.reading())
		f.store.SetUnavailable(false)
		must.Less(t, newsBound, f.announce(t, f.list[3], "i-1"))
		time.Sleep(5 * time.Second)
		must.SliceLen(t, 2, f.reading())
	})
}
