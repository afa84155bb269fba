package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// daemonProgram is what the deploy file builds and runs.
	daemonProgram = "target/balsammesh"
	template      = "deploy/balsammesh.ini"

	// Bounds of a small deployment.

	// StableWindow is how long after a disruption a VM is in touch again.
	StableWindow = 3 * time.Second
	// ConfigApply is by when a configuration is in force after its acknowledgement.
	ConfigApply = 2 * time.Second
	// DrainTime is by when a backend server gets no request after it said that it leaves.
	DrainTime = 2 * time.Second
)

// maxQuoted is how many bytes of the log of a daemon that failed go into the record.
const maxQuoted = 600

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Trouble reports whether the case is to play its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Stage is one fleet with its stand-ins.
type Stage struct {
	Record *Record
	Store  *Store

	dir string
	vms []*VM
	// base is the prefix of the loopback addresses.
	base string
	// taken holds the addresses that were given out.
	taken map[string]bool
}

// VM is one machine: a daemon, its backend server, and the place of its callers.
type VM struct {
	Name   string
	Target *Target
	Door   *Door

	stage    *Stage
	file     string
	outbound string
	ready    string
	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
}

// Open creates the record and the store of a case whose folder is given. It ends the program if
// that is not possible.
func Open(folder string) *Stage {
	record, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	base := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	return &Stage{Record: record, Store: newStore(record), dir: dir, base: base, taken: map[string]bool{}}
}

// End ends all processes and the program: with 1 if the rule was broken, else with 0.
func (s *Stage) End(broken bool) {
	verdict, code := "the rule held", exitHeld
	if broken {
		verdict, code = "the rule was broken", exitBroken
	}
	s.Record.Line("%s", verdict)
	fmt.Println(verdict)
	s.close()
	os.Exit(code)
}

// Check ends the program with 2 if the case can't run.
func (s *Stage) Check(err error) {
	if err == nil {
		return
	}
	s.Record.Line("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	s.close()
	os.Exit(exitNotRun)
}

func (s *Stage) close() {
	for _, vm := range s.vms {
		vm.Signal(syscall.SIGKILL)
		vm.Target.Crash()
	}
	s.Store.close()
	s.Record.close()
	_ = os.RemoveAll(s.dir)
}

// AddVM prepares a VM. Nothing of it runs yet.
func (s *Stage) AddVM(name, zone, service string) *VM {
	ip := fmt.Sprintf("%s%d", s.base, 10+len(s.vms))
	free := func() string { return s.free(ip) }
	_, peers, _ := net.SplitHostPort(free())
	door, err := s.Store.open(name, free())
	s.Check(err)
	vm := &VM{Name: name, Door: door, stage: s, file: filepath.Join(s.dir, name+".ini"), outbound: free(), ready: free()}
	control := free()
	vm.Target = &Target{
		ID: "i-" + name, Service: service, Work: 20 * time.Millisecond, Slots: 3, record: s.Record, address: free(), control: control, zone: zone,
	}
	text, err := os.ReadFile(template)
	s.Check(err)
	filled := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", zone, "{{region}}", "home", "{{listen.outbound}}", vm.outbound,
		"{{listen.control}}", control, "{{listen.ready}}", vm.ready, "{{ip}}", ip, "{{internalPorts.0}}", peers,
		"{{appAddr}}", vm.Target.address, "{{service}}", service, "{{platform.address}}", door.listener.Addr().String(),
		"{{bounds.grace}}", "6s", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindow}}", "10s", "{{bounds.retryBudgetExtra}}", "64",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		s.Check(errors.New("the template has a field that the case does not know"))
	}
	s.Check(os.WriteFile(vm.file, []byte(filled), 0o600))
	s.vms = append(s.vms, vm)
	return vm
}

// free returns a free address with the IP that it did not return before.
func (s *Stage) free(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		s.Check(err)
		at := l.Addr().String()
		s.Check(l.Close())
		if !s.taken[at] {
			s.taken[at] = true
			return at
		}
	}
}

// Boot starts the daemon.
func (vm *VM) Boot() {
	log, err := os.Create(filepath.Join(vm.stage.dir, vm.Name+".log"))
	vm.stage.Check(err)
	cmd := exec.Command(daemonProgram, "--config", vm.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	vm.stage.Check(cmd.Start())
	vm.stage.Record.Line("%s: the daemon starts", vm.Name)
	ended := make(chan struct{})
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		vm.stage.Record.Line("%s: the daemon has ended: %v", vm.Name, err)
		if cmd.ProcessState.ExitCode() > 0 {
			text, _ := os.ReadFile(log.Name())
			vm.stage.Record.Line("%s: it wrote %s", vm.Name, bytes.TrimSpace(text[max(0, len(text)-maxQuoted):]))
		}
		close(ended)
	}()
	vm.mu.Lock()
	vm.process, vm.ended = cmd, ended
	vm.mu.Unlock()
}

// Signal sends a signal to the daemon. After SIGKILL it waits until the daemon has ended.
func (vm *VM) Signal(sig syscall.Signal) {
	vm.mu.Lock()
	cmd, ended := vm.process, vm.ended
	vm.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	vm.stage.Record.Line("%s: the daemon gets %s", vm.Name, sig)
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-ended
	}
}

// Ready reports whether the daemon answers its readiness check with 200.
func (vm *VM) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + vm.ready + "/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// BootAll starts all daemons and backend servers and waits until the daemons are ready.
func (s *Stage) BootAll() {
	for _, vm := range s.vms {
		vm.Boot()
		s.Check(vm.Target.Start(0))
	}
	s.Await("all daemons are ready", func() bool {
		for _, vm := range s.vms {
			if !vm.Ready() {
				return false
			}
		}
		return true
	})
}

// Await waits until the condition holds, for at most 10 s.
func (s *Stage) Await(what string, holds func() bool) {
	for until := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			s.Check(fmt.Errorf("after 10 s: not %s", what))
		}
	}
	s.Record.Line("%s", what)
}

// At waits until a time after the start of the record.
func (s *Stage) At(t time.Duration) { time.Sleep(t - s.Record.Now()) }

// Publish writes a configuration as the operator does. It returns when the store acknowledged it.
func (s *Stage) Publish(document map[string]any) time.Duration {
	raw, err := json.Marshal(document)
	s.Check(err)
	s.Store.put("keyed.op", "config", raw)
	at := s.Record.Now()
	s.Record.Line("operator: version %v is acknowledged", document["version"])
	return at
}

// Call is one request of a caller.
type Call struct {
	Method string
	// Target is the request target, written as it is.
	Target string
	ID     string
	Key    string
}

// Answer is what the caller got. Status is 0 if there was no answer.
type Answer struct {
	SentAt    time.Duration
	Status    int
	Signature string
	Body      string
	// GaveUp is set when the time of the caller was over before the answer.
	GaveUp bool
}

// Log returns what the daemon has written since its last start.
func (vm *VM) Log() string {
	text, _ := os.ReadFile(filepath.Join(vm.stage.dir, vm.Name+".log"))
	return string(text)
}

// Host is the host of all requests.
const Host = "shop.example"

// Send sends one request from this VM over a connection of its own.
func (vm *VM) Send(c Call) Answer {
	a := Answer{SentAt: vm.stage.Record.Now()}
	defer func() {
		vm.stage.Record.Line("caller at %s: %s %s %s with key %q, sent at %.3f: %d %s", vm.Name, c.ID, c.Method, c.Target, c.Key, a.SentAt.Seconds(), a.Status, a.Signature)
	}()
	conn, err := net.DialTimeout("tcp", vm.outbound, time.Second)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: 2500\r\nCredential: %s\r\nConnection: close\r\n\r\n", c.Method, c.Target, Host, c.ID, c.Key)
	if _, err := io.WriteString(conn, text); err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.Status, a.Signature, a.Body = resp.StatusCode, resp.Header.Get("Response-Signature"), string(body)
	return a
}

// Limit sets the rate and the burst of all tenants of a configuration.
func Limit(document map[string]any, ratePerS, burst float64) map[string]any {
	for _, t := range document["tenants"].([]map[string]any) {
		t["ratePerS"], t["burstSize"] = ratePerS, burst
	}
	return document
}

// Document returns a configuration in which each service has a route "/SERVICE/" for requests
// that may run more than once, and "/SERVICE/once/" for others. Each key belongs to a tenant of the same name without a limit.
func Document(version int, keys []string, services ...string) map[string]any {
	routes, list, tenants := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "host": Host, "pathPrefix": "/" + s + "/", "routeType": "safe", "timeout": "2000ms", "aim": "800ms",
			"priority": 1, "service": s, "attempts": 2, "public": false,
		}, map[string]any{
			"name": "w-" + s, "host": Host, "pathPrefix": "/" + s + "/once/", "routeType": "unsafe", "timeout": "2000ms", "aim": "800ms",
			"priority": 1, "service": s, "attempts": 2, "public": false,
		})
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false})
	}
	for _, k := range keys {
		tenants = append(tenants, map[string]any{"name": "tenant-" + k, "apiKeys": []string{k}, "priority": 1, "ratePerS": 0, "burstSize": 0})
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": list, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}
