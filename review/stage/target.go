package stage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the platform's.
const heartbeatInterval = 1500 * time.Millisecond

// Run is one request that a backend server began to work on.
type Run struct {
	At     time.Duration
	ID     string
	Method string
	// Target is the request target as it arrived.
	Target string
	Tenant string
}

// Target stands in for the backend server of one VM. It runs what names it, answers 421 to
// anything else, and sends heartbeats to the daemon of its VM.
type Target struct {
	ID      string
	Service string
	// Work is how long a request takes, and Slots how many run at a time.
	Work  time.Duration
	Slots int

	record  *Record
	address string
	control string
	zone    string

	mu     sync.Mutex
	server *http.Server
	born   int64
	seq    int
	state  string
	runs   []Run
	stop   chan struct{}
}

// Start begins to serve and to send heartbeats. The time of its start is that of its VM's clock,
// which is ahead of the true one by ahead.
func (t *Target) Start(ahead time.Duration) error {
	listener, err := listenSoon(t.address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.born = time.Now().Add(ahead).UnixMilli()
	t.seq, t.state, t.stop = 0, "ready", make(chan struct{})
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	t.record.Line("%s: starts, born %d", t.ID, t.born)
	server, stop := t.server, t.stop
	go func() { _ = server.Serve(listener) }()
	go t.heartbeats(stop)
	return nil
}

// listenSoon listens on an address that was in use a moment ago.
func listenSoon(address string) (net.Listener, error) {
	for tries := 0; ; tries++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || tries > 50 {
			return listener, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Crash ends the backend server without a word.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server == nil {
		return
	}
	t.record.Line("%s: ends without a word", t.ID)
	close(t.stop)
	_ = t.server.Close()
	t.server = nil
}

func (t *Target) heartbeats(stop <-chan struct{}) {
	for {
		_ = t.beat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// Drain sets the state and reports it. It returns the status of the answer and when that came.
func (t *Target) Drain() (int, time.Duration) {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	return t.beat(), t.record.Now()
}

// beat sends one heartbeat and returns the status of the answer, or 0.
func (t *Target) beat() int {
	t.mu.Lock()
	t.seq++
	seq, state := t.seq, t.state
	body, _ := json.Marshal(map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.Service, "version": "v1", "zone": t.zone, "slots": t.Slots},
		"status": map[string]any{"state": state, "seq": seq, "coldRemaining": "0ms"},
	})
	t.mu.Unlock()
	status := post(fmt.Sprintf("http://%s/rpc?call=instances.heartbeat&of=%s", t.control, t.ID), body)
	t.record.Line("%s: heartbeat %d, %s, answered %d", t.ID, seq, state, status)
	return status
}

// Deregister tells the daemon that the backend server ends.
func (t *Target) Deregister() int {
	status := post(fmt.Sprintf("http://%s/rpc?call=instances.deregister&of=%s", t.control, t.ID), nil)
	t.record.Line("%s: deregisters, answered %d", t.ID, status)
	return status
}

func post(url string, body []byte) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Runs returns the requests that ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if instance := r.Header.Get("Target-Instance"); instance != "" && instance != t.ID {
		t.record.Line("%s: 421 to %s, which names %s", t.ID, id, instance)
		w.Header().Set("Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := Run{At: t.record.Now(), ID: id, Method: r.Method, Target: r.RequestURI, Tenant: r.Header.Get("Tenant-Id")}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.record.Line("%s: runs %s: %s %s of tenant %s", t.ID, id, run.Method, run.Target, run.Tenant)
	time.Sleep(t.Work)
	w.Header().Set("Response-Signature", "sig-"+id)
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, t.ID)
}
