// Package fleet runs a small fleet on one machine for tests, the demo and the
// bench: daemons, stand-in backend servers and a stand-in log service in one
// process, over loopback.
//
// # Usage
//
//	f, err := fleet.New(fleet.Plan{Centres: []ids.Centre{"a", "b"}, ...})
//	defer f.Close()
//	f.Edit("teams/andrade/accounts/school", map[string]string{"rate": "50"})
//	resp, err := f.Daemons[0].Do(request)
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/app"
	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/standin"
	"balsamwharf.example/balsamwharf/internal/units"
	platform "balsamwharf.example/balsamwharf/platform/standin"
	"balsamwharf.example/balsamwharf/platform/store"
)

const (
	loopback     = "127.0.0.1:0"
	certValid    = 24 * time.Hour
	readyTimeout = 20 * time.Second
	readyPause   = 20 * time.Millisecond
	renewPeriod  = 10 * time.Second
)

// RootCredential is the root credential of every fleet.
const RootCredential = "root-credential"

// Plan says what to start.
type Plan struct {
	Centres  []ids.Centre
	Services []Service
	Logger   *zap.Logger
}

// Service is a service with its targets. Each target gets a daemon of its own.
type Service struct {
	ID      ids.Service
	Targets int
	Slots   units.Slots
	Work    time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Log     *logstub.Stub
	Daemons []*Daemon

	plan   Plan
	issuer *certs.Issuer
	server *httptest.Server
	edits  atomic.Int64
}

// Daemon is one daemon with its backend server.
type Daemon struct {
	App     *app.App
	ID      ids.Daemon
	Centre  ids.Centre
	Service ids.Service
	Standin *standin.Standin
	// Callers is the base URL for callers.
	Callers string
	// Operators is the base URL for operators.
	Operators string

	stopped  bool
	announce string
	slots    units.Slots
	backend  *httptest.Server
	sockets  app.Sockets
	set      settings.Daemon
	cert     *certs.Certs
	follower atomic.Pointer[func(net.Conn, http.ConnState)]
	// renewing ends the renewal of the announcement.
	renewing context.CancelFunc
}

// New starts a fleet and waits until every daemon knows every target.
func New(p Plan) (*Fleet, error) {
	if p.Logger == nil {
		p.Logger = zap.NewNop()
	}
	f := &Fleet{Log: &logstub.Stub{}, plan: p}
	f.server = httptest.NewServer(platform.Log{To: f.Log})
	var err error
	if f.issuer, err = certs.NewIssuer(time.Now(), certValid); err != nil {
		return nil, err
	}
	for _, s := range p.Services {
		for i := range s.Targets {
			if err := f.add(s, i); err != nil {
				f.Close()
				return nil, err
			}
		}
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// add prepares a daemon: its sockets, its settings and its backend server.
func (f *Fleet) add(s Service, i int) error {
	n := len(f.Daemons)
	id := ids.Daemon(fmt.Sprintf("vm%d", n+1))
	d := &Daemon{ID: id, Centre: f.plan.Centres[i%len(f.plan.Centres)], Service: s.ID, slots: s.Slots}
	target := ids.Target(fmt.Sprintf("%s-%d", s.ID[len(ids.TeamOf(s.ID))+1:], i+1))
	d.Standin = &standin.Standin{ID: target, Work: s.Work}
	d.backend = httptest.NewUnstartedServer(d.Standin)
	d.backend.Config.ConnState = d.follow
	d.backend.Start()
	if err := d.listen(); err != nil {
		return err
	}
	var err error
	if d.cert, err = f.issuer.Issue(id, time.Now(), certValid); err != nil {
		return err
	}
	d.set.Identity = settings.Identity{Daemon: id, Centre: d.Centre, Region: "home"}
	d.set.Logging.Level = "info"
	d.set.Platform = settings.Platform{Log: f.server.URL, Timeout: time.Second, Retention: 24 * time.Hour}
	f.Daemons = append(f.Daemons, d)
	return nil
}

// listen opens the daemon's sockets, at the addresses it had before if any.
func (d *Daemon) listen() error {
	l := &d.set.Listen
	var err error
	if d.sockets.Callers, err = net.Listen("tcp", address(l.Callers)); err != nil {
		return errorx.Decorate(err, "listen for callers")
	}
	if d.sockets.Announce, err = net.Listen("tcp", address(l.Announce)); err != nil {
		return errorx.Decorate(err, "listen for backend servers")
	}
	if d.sockets.Operators, err = net.Listen("tcp", address(l.Operators)); err != nil {
		return errorx.Decorate(err, "listen for operators")
	}
	if d.sockets.Peers, err = net.ListenPacket("udp", address(l.Peers)); err != nil {
		return errorx.Decorate(err, "listen for peers")
	}
	l.Callers = ids.Address(d.sockets.Callers.Addr().String())
	l.Peers = ids.Address(d.sockets.Peers.LocalAddr().String())
	l.Announce = ids.Address(d.sockets.Announce.Addr().String())
	l.Operators = ids.Address(d.sockets.Operators.Addr().String())
	d.Callers = "http://" + string(l.Callers)
	d.Operators = "http://" + string(l.Operators)
	d.announce = "http://" + string(l.Announce)
	return nil
}

// address returns the address, or any free port for an empty one.
func address(a ids.Address) string {
	if a == "" {
		return loopback
	}
	return string(a)
}

// start starts the daemons with the first few as seeds, and announces the targets.
func (f *Fleet) start() error {
	const seeds = 3
	var names []string
	for _, d := range f.Daemons[:min(seeds, len(f.Daemons))] {
		names = append(names, string(d.ID)+"@"+string(d.set.Listen.Peers))
	}
	for _, d := range f.Daemons {
		d.set.Peers.Seeds = names
		if err := f.run(d); err != nil {
			return err
		}
	}
	return f.ready()
}

// run starts one daemon and announces its target.
func (f *Fleet) run(d *Daemon) error {
	d.App = &app.App{
		Settings: d.set,
		Certs:    d.cert,
		Log:      store.Log{Client: store.New(f.server.URL)},
		Logger:   f.plan.Logger.With(zap.String("daemon", string(d.ID))),
		Sockets:  d.sockets,
	}
	d.stopped = false
	if err := d.App.Start(context.Background()); err != nil {
		return err
	}
	var ctx context.Context
	ctx, d.renewing = context.WithCancel(context.Background())
	go d.renew(ctx)
	return d.Announce()
}

// Close stops everything.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, d := range f.Daemons {
		wg.Go(d.close)
	}
	wg.Wait()
	f.server.CloseClientConnections()
	f.server.Close()
}

// close ends everything of the daemon. Its App stays, since its figures can be read
// after the end.
func (d *Daemon) close() {
	if d.App != nil && !d.stopped {
		_ = d.Stop()
	}
	if d.backend != nil {
		d.backend.CloseClientConnections()
		d.backend.Close()
	}
}

// Edit publishes a section and waits until every daemon has applied it.
func (f *Fleet) Edit(path ids.Path, values map[string]string) error {
	base := ids.Offset(0)
	f.Daemons[0].App.View(func(s *replay.State) {
		if e, ok := s.Get(path); ok {
			base = e.Version
		}
	})
	return f.publish(record.Edit{Path: path, Base: base, Values: values})
}

// Remove removes a section and waits until every daemon has applied it.
func (f *Fleet) Remove(path ids.Path) error {
	base := ids.Offset(0)
	f.Daemons[0].App.View(func(s *replay.State) {
		if e, ok := s.Get(path); ok {
			base = e.Version
		}
	})
	return f.publish(record.Edit{Path: path, Base: base, Remove: true})
}

func (f *Fleet) publish(e record.Edit) error {
	e.ID = ids.Edit(fmt.Sprintf("fleet-%d", f.edits.Add(1)))
	e.Credential = bearer.HashOf(CredentialOf(settings.TeamOf(e.Path)))
	if settings.KindOf(e.Path) == settings.KindTeam {
		e.Credential = bearer.HashOf(RootCredential)
	}
	data, err := record.Encode(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	at, err := f.Log.Append(ctx, platformlog.Settings, data)
	if err != nil {
		return err
	}
	for _, d := range f.Daemons {
		if err := d.App.WaitApplied(ctx, at); err != nil {
			return errorx.Decorate(err, "%s did not apply offset %d", d.ID, at)
		}
	}
	return nil
}

// CredentialOf returns the credential of a team in this fleet.
func CredentialOf(t ids.Team) string { return "credential-of-" + string(t) }
