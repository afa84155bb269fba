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

// alone is a daemon without peers.
type alone struct{}

func (alone) Name() service.Name                          { return "dial" }
func (alone) Needs() []service.Name                       { return nil }
func (alone) Start(context.Context, service.Finder) error { return nil }
func (alone) Stop(context.Context) error                  { return nil }

func (alone) Call(context.Context, ids.Daemon, message.Message) (message.Message, error) {
	return nil, io.ErrClosedPipe
}

func (alone) Send(context.Context, ids.Daemon, call.Head, io.Reader) (*call.Answer, error) {
	return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "alone")
}

// pipes is a backend server in memory. Each request reports itself on arrived
// and waits for a value on finish.
type pipes struct {
	conns   chan net.Conn
	arrived chan string
	finish  chan struct{}

	mu      sync.Mutex
	now     int
	most    int
	served  int
	timeout string
}

func (p *pipes) Dial(ctx context.Context, _ ids.Address) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error {
	close(p.conns)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) count(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now += change
	p.most = max(p.most, p.now)
	p.served += max(change, 0)
}

func (p *pipes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.count(1)
	defer p.count(-1)
	p.mu.Lock()
	p.timeout = r.Header.Get("Timeout")
	p.mu.Unlock()
	p.arrived <- r.URL.Path
	select {
	case <-p.finish:
		_, _ = io.WriteString(w, "done "+r.URL.Path)
	case <-r.Context().Done():
	}
}

// world is one gatekeeper with one target in virtual time.
type world struct {
	t       *testing.T
	g       *gatekeeper.Gatekeeper
	dir     *directory.Directory
	backend *pipes
}

const target = ids.Target("payments-1")

func announcement(slots int) gatekeeper.Announcement {
	return gatekeeper.Announcement{ID: target, Service: "andrade/payments", Address: "10.0.0.1:80", Slots: slots, TTL: time.Hour}
}

func run(t *testing.T, slots int, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := common.Discard()
		c.Settings.Identity.Daemon = "vm1"
		w := &world{t: t, dir: &directory.Directory{}}
		w.backend = &pipes{conns: make(chan net.Conn), arrived: make(chan string, 1000), finish: make(chan struct{})}
		w.g = &gatekeeper.Gatekeeper{Common: c, Dialer: w.backend}
		var k kernel.Kernel
		for _, s := range []service.Service{c.Clock, w.dir, alone{}, &gossip.Gossip{Common: c}, confirmed{}, &tail.Tail{Common: c, Log: &logstub.Stub{}}, &permit.Manager{Common: c}, &ejector.Ejector{Common: c}, w.g} {
			k.Add(s)
		}
		must.NoError(t, k.Start(t.Context()))
		server := &http.Server{Handler: w.backend}
		go func() { _ = server.Serve(w.backend) }()
		w.g.Announce(announcement(slots))
		test(t, w)
		must.NoError(t, k.Stop(time.Minute))
		_ = server.Close()
	})
}

func head(account ids.Account, path string, left time.Duration) call.Head {
	return call.Head{Method: "POST", Target: path, Host: "h", Service: "andrade/payments", Account: account, Weight: 1, Remaining: left, Server: target}
}

// send starts a request; its channel yields the error, or nil for a whole answer.
func (w *world) send(ctx context.Context, h call.Head) <-chan error {
	ended := make(chan error, 1)
	go func() {
		answer, err := w.g.Forward(ctx, h, nil)
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

func TestSlotsAndFairShares(t *testing.T) {
	run(t, 3, func(t *testing.T, w *world) {
		var all []<-chan error
		for range 60 {
			all = append(all, w.send(t.Context(), head("big", "/big", time.Hour)))
		}
		for range 10 {
			all = append(all, w.send(t.Context(), head("small", "/small", time.Hour)))
		}
		small := 0
		for range 23 {
			if path := <-w.backend.arrived; path == "/small" {
				small++
			}
			w.backend.finish <- struct{}{}
			synctest.Wait()
		}
		must.EqOp(t, 10, small)
		close(w.backend.finish)
		for _, ended := range all {
			must.NoError(t, <-ended)
		}
		synctest.Wait()
		must.EqOp(t, 3, w.backend.most)
		must.EqOp(t, 70, w.backend.served)
	})
}

func TestDeadlines(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		first := w.send(t.Context(), head("a", "/first", time.Minute))
		time.Sleep(10 * time.Second)
		w.backend.finish <- struct{}{}
		must.NoError(t, <-first)
		held := w.send(t.Context(), head("a", "/held", 30*time.Second))
		must.EqOp(t, "30000", w.backend.timeout)
		before := time.Now()
		refused := <-w.send(t.Context(), head("a", "/hopeless", 15*time.Second))
		must.EqOp(t, verdict.Unrun, verdict.Of(refused))
		must.Zero(t, time.Since(before))
		waits := w.send(t.Context(), head("a", "/waits", 25*time.Second))
		must.EqOp(t, verdict.Unrun, verdict.Of(<-waits))
		must.EqOp(t, 25*time.Second, time.Since(before))
		must.EqOp(t, verdict.Maybe, verdict.Of(<-held))
		synctest.Wait()
		must.EqOp(t, 2, w.backend.served)
	})
}

// A caller that hangs up frees its place in the queue or its slot at once.
func TestHangUp(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		ctx, cancel := context.WithCancel(t.Context())
		running := w.send(ctx, head("a", "/running", time.Hour))
		waitCtx, waitCancel := context.WithCancel(t.Context())
		waiting := w.send(waitCtx, head("a", "/waiting", time.Hour))
		next := w.send(t.Context(), head("a", "/next", time.Hour))
		waitCancel()
		must.EqOp(t, verdict.Unrun, verdict.Of(<-waiting))
		cancel()
		must.EqOp(t, verdict.Maybe, verdict.Of(<-running))
		must.EqOp(t, "/running", <-w.backend.arrived)
		must.EqOp(t, "/next", <-w.backend.arrived)
		close(w.backend.finish)
		must.NoError(t, <-next)
	})
}

func TestLeaving(t *testing.T) {
	cases := []struct {
		name  string
		leave func(w *world)
	}{
		{name: "drain", leave: func(w *world) { must.True(w.t, w.g.DrainTarget(target)) }},
		{name: "not renewed", leave: func(_ *world) { time.Sleep(time.Hour + 2*time.Second) }},
		{name: "daemon leaves", leave: func(w *world) { w.g.DrainAll() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, func(t *testing.T, w *world) {
				running := w.send(t.Context(), head("a", "/running", 9*time.Hour))
				waiting := w.send(t.Context(), head("a", "/waiting", 9*time.Hour))
				c.leave(w)
				must.EqOp(t, verdict.Unrun, verdict.Of(<-waiting))
				must.EqOp(t, verdict.Unrun, verdict.Of(<-w.send(t.Context(), head("a", "/late", time.Hour))))
				time.Sleep(10 * time.Second)
				close(w.backend.finish)
				must.NoError(t, <-running)
				must.EqOp(t, 1, w.backend.served)
			})
		})
	}
}

// A target that left is announced to the fleet as leaving, then forgotten; an
// announcement brings it back.
func TestLeavingIsPublished(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		must.Len(t, 1, w.dir.Targets("andrade/payments"))
		running := w.send(t.Context(), head("a", "/running", time.Hour))
		w.g.DrainTarget(target)
		must.Len(t, 0, w.dir.Targets("andrade/payments"))
		time.Sleep(5 * time.Second)
		own, _ := w.dir.Member("vm1")
		must.Len(t, 1, own.Targets)
		close(w.backend.finish)
		must.NoError(t, <-running)
		time.Sleep(2 * time.Second)
		own, _ = w.dir.Member("vm1")
		must.Len(t, 0, own.Targets)
		w.g.Announce(announcement(1))
		must.Len(t, 1, w.dir.Targets("andrade/payments"))
		must.NoError(t, <-w.send(t.Context(), head("a", "/back", time.Hour)))
	})
}

// A new announcement changes slots and address without an effect on what runs.
func TestReannounce(t *testing.T) {
	run(t, 2, func(t *testing.T, w *world) {
		one := w.send(t.Context(), head("a", "/one", time.Hour))
		two := w.send(t.Context(), head("a", "/two", time.Hour))
		three := w.send(t.Context(), head("a", "/three", time.Hour))
		fewer := announcement(1)
		fewer.Address = "10.0.0.1:81"
		w.g.Announce(fewer)
		w.backend.finish <- struct{}{}
		synctest.Wait()
		must.EqOp(t, 2, w.backend.served)
		w.backend.finish <- struct{}{}
		synctest.Wait()
		must.EqOp(t, 3, w.backend.served)
		w.g.Announce(announcement(5))
		close(w.backend.finish)
		for _, ended := range []<-chan error{one, two, three} {
			must.NoError(t, <-ended)
		}
	})
}
