package soak

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/standin"
)

const (
	work = 10 * time.Millisecond
	// renewal is how often a backend server announces itself.
	renewal = 5 * time.Second
	// retention is how long the log service keeps records.
	retention = 4 * time.Minute
	// leavingTime is the time after which a leaving target must get no new work.
	leavingTime = 2 * time.Second
)

// node is one VM: a backend server, and a daemon that may be down.
type node struct {
	soak    *Soak
	id      ids.Daemon
	centre  ids.Centre
	service ids.Service
	target  ids.Target
	set     settings.Daemon
	standin *standin.Standin
	pipes   *pipes
	server  *http.Server
	// cut is set while this VM can't reach the log service.
	cut atomic.Bool

	mu      sync.Mutex
	life    *life
	drained time.Time
}

func (s *Soak) newNode(i int) *node {
	n := &node{
		soak:    s,
		id:      ids.Daemon(fmt.Sprintf("vm%d", i)),
		centre:  centres[i%len(centres)],
		service: servicesOf[i/len(centres)%len(servicesOf)],
		target:  ids.Target(fmt.Sprintf("target-%d", i)),
		pipes:   newPipes(),
	}
	n.standin = &standin.Standin{ID: n.target, Work: work}
	n.server = &http.Server{Handler: n, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = n.server.Serve(n.pipes) }()
	n.set.Identity = settings.Identity{Daemon: n.id, Centre: n.centre, Region: "home"}
	n.set.Platform = settings.Platform{Timeout: time.Second, Retention: retention}
	n.set.Peers.Seeds = []string{"vm0@127.0.0.1:1", "vm1@127.0.0.1:1", "vm2@127.0.0.1:1"}
	return n
}

// ServeHTTP is the backend server.
func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	drained := n.drained
	n.mu.Unlock()
	if r.Method != http.MethodOptions && !drained.IsZero() && time.Since(drained) > leavingTime {
		n.soak.breach("leaving target %s got a request %s after it began to leave", n.target, time.Since(drained))
	}
	n.standin.ServeHTTP(w, r)
}

// current returns the running daemon, or nil.
func (n *node) current() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// enter returns the running daemon, or nil, and counts a request in; the caller
// ends it with inside.Done.
func (n *node) enter() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != nil {
		n.life.inside.Add(1)
	}
	return n.life
}

// start starts a new incarnation of the daemon unless it runs.
func (n *node) start() {
	if n.current() != nil {
		return
	}
	l, err := n.newLife()
	if err != nil {
		n.soak.breach("daemon %s does not start: %v", n.id, err)
		return
	}
	n.mu.Lock()
	n.life = l
	n.mu.Unlock()
	n.soak.tasks.Go(func() { n.renew(l) })
}

// renew announces the backend server until the daemon ends.
func (n *node) renew(l *life) {
	for {
		n.announce(l)
		select {
		case <-time.After(renewal):
		case <-l.ctx.Done():
			return
		case <-n.soak.over:
			return
		}
	}
}

// announce announces the backend server unless it drains.
func (n *node) announce(l *life) {
	if l.pass(l.ctx) != nil {
		return
	}
	n.mu.Lock()
	leaving := !n.drained.IsZero()
	n.mu.Unlock()
	if leaving {
		return
	}
	l.gatekeeper.Announce(gatekeeper.Announcement{ID: n.target, Service: n.service, Address: "127.0.0.1:1", Slots: slots})
}

// drain makes the backend server leave; end makes it come back.
func (n *node) drain() {
	l := n.current()
	if l == nil || l.pass(l.ctx) != nil || !l.gatekeeper.DrainTarget(n.target) {
		return
	}
	n.mu.Lock()
	n.drained = time.Now()
	n.mu.Unlock()
}

func (n *node) undrain() {
	n.mu.Lock()
	n.drained = time.Time{}
	n.mu.Unlock()
	if l := n.current(); l != nil {
		n.announce(l)
	}
}

// take makes the daemon unknown to callers and returns it.
func (n *node) take() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.life
	n.life = nil
	return l
}

// kill ends the daemon at once.
func (n *node) kill() bool {
	l := n.take()
	if l == nil {
		return false
	}
	l.kill()
	return true
}

// stop ends the daemon gracefully.
func (n *node) stop() bool {
	l := n.take()
	if l == nil {
		return false
	}
	l.stop()
	return true
}

func (n *node) close() {
	n.kill()
	_ = n.server.Close()
}
