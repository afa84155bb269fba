package soak

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/app"
	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/dispatch"
	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/invariant"
	"balsamwharf.example/balsamwharf/internal/leasecheck"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// stopTimeout is the time that each service has to finish its work.
const stopTimeout = 30 * time.Second

// life is one incarnation of a daemon, from its start to its end.
type life struct {
	node   *node
	gate   gate
	ctx    context.Context
	cancel context.CancelFunc
	dialer *dialer
	common *common.Common
	kernel kernel.Kernel
	// inside counts the callers' requests in progress.
	inside sync.WaitGroup

	dispatch   *dispatch.Dispatcher
	directory  *directory.Directory
	entry      *entry.Entry
	force      *force.Force
	gatekeeper *gatekeeper.Gatekeeper
	gossip     *gossip.Gossip
	publish    *publish.Publisher
	standing   leasecheck.Checker
	tail       *tail.Tail
}

func (n *node) newLife() (*life, error) {
	l := &life{node: n}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.dialer = &dialer{to: n.pipes, life: l}
	l.common = &common.Common{
		Log:      zap.NewNop(),
		Settings: n.set,
		Clock:    &timer.Timer{},
		Metrics:  metrics.NewRegistry(),
		Invariant: &invariant.Invariant{
			Log:    n.soak.Log.With(zap.Uint64("seed", n.soak.Seed), zap.String("daemon", string(n.id)), zap.Time("began", n.soak.began)),
			Strict: true,
		},
	}
	parts := app.Dependencies{
		Log:    &source{Log: &n.soak.log, life: l, cut: &n.cut},
		Dial:   &line{Caller: n.soak.net.Join(n.id, l), life: l},
		Dialer: l.dialer,
	}
	for _, s := range app.Services(l.common, parts) {
		l.kernel.Add(s)
	}
	if err := l.kernel.Start(l.ctx); err != nil {
		return nil, err
	}
	return l, l.bind()
}

// bind finds the services that the run looks at.
func (l *life) bind() error {
	for _, err := range []error{
		kernel.Bind(&l.kernel, "dispatch", &l.dispatch),
		kernel.Bind(&l.kernel, "directory", &l.directory),
		kernel.Bind(&l.kernel, "entry", &l.entry),
		kernel.Bind(&l.kernel, "force", &l.force),
		kernel.Bind(&l.kernel, "gatekeeper", &l.gatekeeper),
		kernel.Bind(&l.kernel, "gossip", &l.gossip),
		kernel.Bind(&l.kernel, "publish", &l.publish),
		kernel.Bind(&l.kernel, "confirm", &l.standing),
		kernel.Bind(&l.kernel, "tail", &l.tail),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// pass waits while the daemon is paused.
func (l *life) pass(ctx context.Context) error { return l.gate.pass(ctx, l.ctx) }

// within returns a context that also ends with the daemon.
func (l *life) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Control implements fakenet.Handler.
func (l *life) Control(ctx context.Context, from ids.Daemon, m message.Message) (message.Message, error) {
	ctx, cancel := l.within(ctx)
	defer cancel()
	if err := l.pass(ctx); err != nil {
		return nil, err
	}
	reply, err := l.dispatch.Control(ctx, from, m)
	if late := l.pass(ctx); late != nil {
		return nil, late
	}
	return reply, err
}

// Request implements fakenet.Handler.
func (l *life) Request(ctx context.Context, head call.Head, body io.Reader) (*call.Answer, error) {
	ctx, cancel := l.within(ctx)
	if err := l.pass(ctx); err != nil {
		cancel()
		return nil, broken(err)
	}
	answer, err := l.dispatch.Request(ctx, head, body)
	if err != nil {
		cancel()
		if l.ctx.Err() != nil {
			return nil, broken(err)
		}
		return answer, err
	}
	answer.Body = &ending{ReadCloser: answer.Body, end: cancel}
	return answer, nil
}

// ending is an answer's body with something to do after it.
type ending struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	e.end()
	return err
}

// broken is what is seen of a request whose daemon or connection went away.
func broken(err error) error {
	return verdict.Wrap(verdict.Maybe, http.StatusBadGateway, "the connection was lost", err)
}

// kill ends the daemon at once, as a failure of its VM does.
func (l *life) kill() {
	l.node.soak.net.Leave(l.node.id)
	l.cancel()
	l.dialer.close()
	l.end()
}

// stop ends the daemon gracefully, in the order of package drain, which needs
// sockets: the fleet hears of it, and the requests in flight end first.
func (l *life) stop() {
	l.gossip.Update(func(m *member.Member) { m.Leaving = true })
	l.gatekeeper.DrainAll()
	l.inside.Wait()
	time.Sleep(2 * timeout)
	if err := l.kernel.Stop(stopTimeout); err != nil {
		l.node.soak.Log.Warn("a daemon did not stop in time", zap.Error(err))
	}
	l.kill()
}

// end adds the daemon's counts to the report.
func (l *life) end() {
	l.node.soak.mu.Lock()
	defer l.node.soak.mu.Unlock()
	l.node.soak.checks += l.common.Invariant.Checks()
}
