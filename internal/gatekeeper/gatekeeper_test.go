package gatekeeper_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// noPeers is the dialer service of a daemon without peers.
type noPeers struct{}

func (noPeers) Name() service.Name                          { return "dial" }
func (noPeers) Needs() []service.Name                       { return nil }
func (noPeers) Start(context.Context, service.Finder) error { return nil }
func (noPeers) Stop(context.Context) error                  { return nil }

func (noPeers) Call(context.Context, ids.Daemon, message.Message) (message.Message, error) {
	return nil, io.ErrClosedPipe
}

func (noPeers) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "alone")
}

// pipeBackend is a backend server that is reached over in-memory pipes. Each request
// sends its path on arrived and then waits for a value on finish.
type pipeBackend struct {
	conns   chan net.Conn
	arrived chan string
	finish  chan struct{}

	mu         sync.Mutex
	running    int
	maxRunning int
	served     int
	timeout    string
}

func (b *pipeBackend) Dial(ctx context.Context, _ ids.Address) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case b.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *pipeBackend) Accept() (net.Conn, error) {
	c, ok := <-b.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (b *pipeBackend) Close() error {
	close(b.conns)
	return nil
}

func (b *pipeBackend) Addr() net.Addr { return &net.TCPAddr{} }

func (b *pipeBackend) count(change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += change
	b.maxRunning = max(b.maxRunning, b.running)
	b.served += max(change, 0)
}

func (b *pipeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.count(1)
	defer b.count(-1)
	b.mu.Lock()
	b.timeout = r.Header.Get("Timeout")
	b.mu.Unlock()
	b.arrived <- r.URL.Path
	select {
	case <-b.finish:
		_, _ = io.WriteString(w, "done "+r.URL.Path)
	case <-r.Context().Done():
	}
}

// fixture is one gatekeeper with one target in virtual time.
type fixture struct {
	t       *testing.T
	g       *gatekeeper.Gatekeeper
	dir     *directory.Directory
	backend *pipeBackend
}

const target = ids.Target("payments-1")

func announcement(slots int) gatekeeper.Announcement {
	return gatekeeper.Announcement{ID: target, Service: "andrade/payments", Address: "10.0.0.1:80", Slots: slots, TTL: time.Hour}
}

// runFixture runs the test in virtual time with a target that has the given slots.
func runFixture(t *testing.T, slots int, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Settings.Identity.Daemon = "vm1"
		f := &fixture{t: t, dir: &directory.Directory{}}
		f.backend = &pipeBackend{conns: make(chan net.Conn), arrived: make(chan string, 1000), finish: make(chan struct{})}
		f.g = &gatekeeper.Gatekeeper{Common: c, Dialer: f.backend}
		var k kernel.Kernel
		for _, s := range []service.Service{c.Clock, f.dir, noPeers{}, &gossip.Gossip{Common: c}, confirmedLease{}, &tail.Tail{Common: c, Log: &logstub.Stub{}}, &permit.Manager{Common: c}, &ejector.Ejector{Common: c}, f.g} {
			k.Add(s)
		}
		must.NoError(t, k.Start(t.Context()))
		server := &http.Server{Handler: f.backend}
		go func() { _ = server.Serve(f.backend) }()
		f.g.Announce(announcement(slots))
		test(t, f)
		must.NoError(t, k.Stop(time.Minute))
		_ = server.Close()
	})
}

func head(account ids.Account, path string, remaining time.Duration) call.Head {
	return call.Head{Method: "POST", Target: path, Host: "h", Service: "andrade/payments", Account: account, Weight: 1, Remaining: remaining, Server: target}
}

// send starts a request. The channel receives its error, or nil for a complete answer.
func (f *fixture) send(ctx context.Context, h call.Head) <-chan error {
	ended := make(chan error, 1)
	go func() {
		answer, err := f.g.Forward(ctx, h, nil)
		if err == nil {
			var text []byte
			text, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if err == nil && string(text) != "done "+h.Target {
				err = errors.New("wrong answer: " + string(text))
			}
		}
		ended <- err
	}()
	synctest.Wait()
	return ended
}

// Of 70 requests at 3 slots, 10 are those of a small account. They must not wait behind
// the 60 of the big account that came before them, and no more than 3 may run at once.
func TestSlotsAndFairShares(t *testing.T) {
	runFixture(t, 3, func(t *testing.T, f *fixture) {
		var results []<-chan error
		for range 60 {
			results = append(results, f.send(t.Context(), head("big", "/big", time.Hour)))
		}
		for range 10 {
			results = append(results, f.send(t.Context(), head("small", "/small", time.Hour)))
		}
		small := 0
		for range 23 {
			if path := <-f.backend.arrived; path == "/small" {
				small++
			}
			f.backend.finish <- struct{}{}
			synctest.Wait()
		}
		must.EqOp(t, 10, small)
		close(f.backend.finish)
		for _, ended := range results {
			must.NoError(t, <-ended)
		}
		synctest.Wait()
		must.EqOp(t, 3, f.backend.maxRunning)
		must.EqOp(t, 70, f.backend.served)
	})
}

// A request with less time left than the estimated wait and latency, 10 s each, is
// refused at once. One that waits or runs ends at its deadline.
func TestDeadlines(t *testing.T) {
	runFixture(t, 1, func(t *testing.T, f *fixture) {
		first := f.send(t.Context(), head("a", "/first", time.Minute))
		time.Sleep(10 * time.Second)
		f.backend.finish <- struct{}{}
		must.NoError(t, <-first)
		held := f.send(t.Context(), head("a", "/held", 30*time.Second))
		must.EqOp(t, "30000", f.backend.timeout)
		before := time.Now()
		refused := <-f.send(t.Context(), head("a", "/hopeless", 15*time.Second))
		must.EqOp(t, verdict.Unrun, verdict.Of(refused))
		must.Zero(t, time.Since(before))
		waits := f.send(t.Context(), head("a", "/waits", 25*time.Second))
		must.EqOp(t, verdict.Unrun, verdict.Of(<-waits))
		must.EqOp(t, 25*time.Second, time.Since(before))
		must.EqOp(t, verdict.Maybe, verdict.Of(<-held))
		synctest.Wait()
		must.EqOp(t, 2, f.backend.served)
	})
}

// A caller that cancels frees its place in the queue or its slot at once.
func TestHangUp(t *testing.T) {
	runFixture(t, 1, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		running := f.send(ctx, head("a", "/running", time.Hour))
		waitCtx, waitCancel := context.WithCancel(t.Context())
		waiting := f.send(waitCtx, head("a", "/waiting", time.Hour))
		next := f.send(t.Context(), head("a", "/next", time.Hour))
		waitCancel()
		must.EqOp(t, verdict.Unrun, verdict.Of(<-waiting))
		cancel()
		must.EqOp(t, verdict.Maybe, verdict.Of(<-running))
		must.EqOp(t, "/running", <-f.backend.arrived)
		must.EqOp(t, "/next", <-f.backend.arrived)
		close(f.backend.finish)
		must.NoError(t, <-next)
	})
}

// A target or daemon that is leaving refuses queued and new requests, and completes the
// running one.
func TestLeaving(t *testing.T) {
	cases := []struct {
		name  string
		leave func(f *fixture)
	}{
		{name: "drain", leave: func(f *fixture) { must.True(f.t, f.g.DrainTarget(target)) }},
		{name: "not renewed", leave: func(_ *fixture) { time.Sleep(time.Hour + 2*time.Second) }},
		{name: "daemon leaves", leave: func(f *fixture) { f.g.DrainAll() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, 1, func(t *testing.T, f *fixture) {
				running := f.send(t.Context(), head("a", "/running", 9*time.Hour))
				waiting := f.send(t.Context(), head("a", "/waiting", 9*time.Hour))
				c.leave(f)
				must.EqOp(t, verdict.Unrun, verdict.Of(<-waiting))
				must.EqOp(t, verdict.Unrun, verdict.Of(<-f.send(t.Context(), head("a", "/late", time.Hour))))
				time.Sleep(10 * time.Second)
				close(f.backend.finish)
				must.NoError(t, <-running)
				must.EqOp(t, 1, f.backend.served)
			})
		})
	}
}

// A drained target is published as leaving, removed once it has no request in flight,
// and added again by a new announcement.
func TestLeavingIsPublished(t *testing.T) {
	runFixture(t, 1, func(t *testing.T, f *fixture) {
		must.Len(t, 1, f.dir.Targets("andrade/payments"))
		running := f.send(t.Context(), head("a", "/running", time.Hour))
		f.g.DrainTarget(target)
		must.Len(t, 0, f.dir.Targets("andrade/payments"))
		time.Sleep(5 * time.Second)
		own, _ := f.dir.Member("vm1")
		must.Len(t, 1, own.Targets)
		close(f.backend.finish)
		must.NoError(t, <-running)
		time.Sleep(2 * time.Second)
		own, _ = f.dir.Member("vm1")
		must.Len(t, 0, own.Targets)
		f.g.Announce(announcement(1))
		must.Len(t, 1, f.dir.Targets("andrade/payments"))
		must.NoError(t, <-f.send(t.Context(), head("a", "/back", time.Hour)))
	})
}

// A new announcement changes slots and address without an effect on running requests.
func TestReannounce(t *testing.T) {
	runFixture(t, 2, func(t *testing.T, f *fixture) {
		one := f.send(t.Context(), head("a", "/one", time.Hour))
		two := f.send(t.Context(), head("a", "/two", time.Hour))
		three := f.send(t.Context(), head("a", "/three", time.Hour))
		fewer := announcement(1)
		fewer.Address = "10.0.0.1:81"
		f.g.Announce(fewer)
		f.backend.finish <- struct{}{}
		synctest.Wait()
		must.EqOp(t, 2, f.backend.served)
		f.backend.finish <- struct{}{}
		synctest.Wait()
		must.EqOp(t, 3, f.backend.served)
		f.g.Announce(announcement(5))
		close(f.backend.finish)
		for _, ended := range []<-chan error{one, two, three} {
			must.NoError(t, <-ended)
		}
	})
}
