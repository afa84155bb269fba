package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamwharf.example/balsamwharf/platform/standin"
)

const (
	// startTime is how long the daemons of a case may take until all serve.
	startTime = 20 * time.Second
	pollPause = 50 * time.Millisecond
	// stopTime is how long a daemon may take to end before it is killed.
	stopTime = 8 * time.Second
	// zone is the only zone of the deployment.
	zone = "zone-a"
	// key is the key of the only client account.
	key = "6wsjnbanfqasnmgkcuyj"
	// account is its name.
	account = "tenant-a"
	host    = "shop.example"
)

// route is one route of the configuration.
type route struct {
	prefix, kind, service string
	timeout, aim          time.Duration
}

// stage is one deployment.
type stage struct {
	program, template, dir string
	record                 *record
	store                  *standin.Store
	machines               []*machine
	version                int
	// rate and burst are the limits of the account; zero means none.
	rate, burst float64
	// sent holds when each request was sent.
	sent sync.Map
	// deposits counts the deposits that callers sent.
	deposits atomic.Int64
}

// machine is one VM: a daemon and the backend server beside it.
type machine struct {
	stage   *stage
	name    string
	service string
	file    string
	callers string
	control string
	ready   string
	peers   string
	server  *server
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func openStage(program, template, file string) (*stage, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	program, err = filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	r, err := openRecord(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stage2-")
	if err != nil {
		return nil, err
	}
	return &stage{program: program, template: string(text), dir: dir, record: r, store: standin.NewStore()}, nil
}

// close ends all processes that the stage started.
func (s *stage) close() {
	for _, m := range s.machines {
		m.server.close()
	}
	for _, m := range s.machines {
		m.signal(syscall.SIGTERM)
	}
	for _, m := range s.machines {
		m.awaitEnd()
	}
	s.store.Close()
	s.record.close()
	_ = os.RemoveAll(s.dir)
}

// endOnSignal kills all daemons and ends the program when it is told to stop.
func (s *stage) endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	for _, m := range s.machines {
		m.signal(syscall.SIGKILL)
	}
	_ = os.RemoveAll(s.dir)
	os.Exit(failed)
}

// configure writes a configuration to the store as an operator does.
func (s *stage) configure(routes []route) error {
	s.version++
	services := map[string]bool{}
	var list, named []any
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "pathPrefix": r.prefix, "routeType": r.kind, "timeout": ms(r.timeout),
			"aim": ms(r.aim), "priority": 1, "service": r.service, "attempts": 2, "public": false,
		})
		if !services[r.service] {
			services[r.service] = true
			named = append(named, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", s.version), "routes": list, "services": named,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": []any{map[string]any{"name": account, "apiKeys": []string{key}, "priority": 1, "ratePerS": s.rate, "burstSize": s.burst}},
	})
	if err != nil {
		return err
	}
	s.store.Put("keyed.op", "config", raw)
	s.record.note("the operator writes configuration %08x", s.version)
	return nil
}

func ms(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// add starts a machine whose backend server belongs to the service.
func (s *stage) add(service string) (*machine, error) {
	m := &machine{stage: s, service: service, name: fmt.Sprintf("sidecar-%d", len(s.machines)+1)}
	var addresses [5]string
	for i := range addresses {
		a, err := standin.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = string(a)
	}
	m.callers, m.control, m.ready, m.peers = addresses[0], addresses[1], addresses[2], addresses[3]
	ip, port, err := net.SplitHostPort(addresses[3])
	if err != nil {
		return nil, err
	}
	m.server, err = openServer(m, addresses[4])
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", zone, "{{region}}", "region-a",
		"{{listen.outbound}}", m.callers, "{{listen.control}}", m.control, "{{listen.ready}}", m.ready,
		"{{ip}}:7001", freeOr(ip), "{{ip}}", ip, "{{internalPorts.0}}", port,
		"{{appAddr}}", addresses[4], "{{service}}", service, "{{platform.address}}", string(s.store.Address()),
		"{{contracts}}", "base,drain,config,cost,retry,recover,health,tenants,quota,platform",
		"{{bounds.grace}}", "6s", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindow}}", "10s", "{{bounds.retryBudgetExtra}}", "64",
	).Replace(s.template)
	m.file = filepath.Join(s.dir, m.name+".ini")
	if err := os.WriteFile(m.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.machines = append(s.machines, m)
	return m, m.start()
}

// freeOr returns a free address for metrics, or one that any daemon of the IP address may use.
func freeOr(ip string) string {
	a, err := standin.FreeAddress()
	if err != nil {
		return ip + ":0"
	}
	return string(a)
}

// start starts the daemon's process.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.stage.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.process = exec.Command(m.stage.program, "--config", m.file)
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.stage.record.note("%s starts", m.name)
	ended := make(chan struct{})
	m.ended = ended
	go func() {
		defer close(ended)
		_ = m.process.Wait()
	}()
	return nil
}

// signal sends a signal to the daemon's process, unless that has ended.
func (m *machine) signal(s syscall.Signal) {
	if m.process == nil || m.process.Process == nil {
		return
	}
	_ = m.process.Process.Signal(s)
}

// awaitEnd blocks until the daemon's process has ended, and kills it if that takes too long.
func (m *machine) awaitEnd() {
	if m.ended == nil {
		return
	}
	select {
	case <-m.ended:
	case <-time.After(stopTime):
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	_ = m.log.Close()
}

// awaitReady blocks until all daemons are ready and have acknowledged their backend servers.
func (s *stage) awaitReady() error {
	until := time.Now().Add(startTime)
	for _, m := range s.machines {
		for !m.isReady() || !m.server.acknowledged() {
			if time.Now().After(until) {
				return errors.New("the daemons did not get ready in time")
			}
			time.Sleep(pollPause)
		}
	}
	// Every daemon has to learn of all others.
	time.Sleep(4 * time.Second)
	s.record.note("all %d daemons are ready", len(s.machines))
	return nil
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
