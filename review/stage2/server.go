package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatPause   = 1500 * time.Millisecond
	heartbeatTimeout = time.Second
	// slots is how many requests a backend server runs at once.
	slots = 4
	// workTime is how long a request takes, unless a case sets another time.
	workTime = 40 * time.Millisecond
	// keepAliveTime is after how long a backend server closes an idle connection.
	keepAliveTime = 5 * time.Second
)

// server is a stand-in of a backend server, which announces itself to the daemon of its machine.
type server struct {
	machine  *machine
	id       string
	address  string
	born     int64
	listener net.Listener
	http     *http.Server
	stop     context.CancelFunc

	mu    sync.Mutex
	seq   int
	acked bool
	// state is that of the heartbeats, and leaveAckedAt is when the first one with draining was
	// acknowledged.
	state        string
	leaveAckedAt time.Time
	// wake makes the next heartbeat come at once.
	wake chan struct{}
	// runTimes holds when requests began to run, and firstRun when each began to run first.
	runTimes []time.Time
	firstRun map[string]time.Time
	// ran counts how often each request began to run.
	ran map[string]int
	// work is how long a request takes.
	work time.Duration
}

func openServer(m *machine, address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &server{
		machine: m, id: "i-" + m.name, address: address, born: time.Now().UnixMilli(), listener: listener, stop: stop, ran: map[string]int{}, work: workTime, firstRun: map[string]time.Time{}, state: "ready",
		wake: make(chan struct{}, 1),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: keepAliveTime}
	go func() { _ = s.http.Serve(listener) }()
	go s.beatLoop(ctx)
	return s, nil
}

func (s *server) close() {
	s.stop()
	_ = s.http.Close()
}

// setWork sets how long a request takes.
func (s *server) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

func (s *server) acknowledged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// timesRun returns how often the request with the id began to run here.
func (s *server) timesRun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// stopBeating stops the heartbeats and returns the next one, which is not sent.
func (s *server) stopBeating() beat {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return beat{seq: s.seq, state: s.state}
}

// deregister announces the end of the backend server and reports whether that was acknowledged.
func (s *server) deregister() bool {
	raw, err := json.Marshal(map[string]any{"born": s.born})
	return err == nil && s.post("instances.deregister", raw)
}

// leave makes the backend server report from now on that it is leaving.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.machine.stage.record.note("%s leaves", s.id)
	s.wake <- struct{}{}
}

// awaitLeaveAcknowledged waits until it is acknowledged that the backend server leaves.
func (s *server) awaitLeaveAcknowledged(most time.Duration) (time.Time, bool) {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(pollPause) {
		s.mu.Lock()
		at := s.leaveAckedAt
		s.mu.Unlock()
		if !at.IsZero() {
			return at, true
		}
	}
	return time.Time{}, false
}

// runsSince returns how many requests began to run after an instant.
func (s *server) runsSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.runTimes {
		if at.After(from) {
			n++
		}
	}
	return n
}

// firstRuns returns when each request began to run here first.
func (s *server) firstRuns() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.firstRun)
}

// beatLoop sends heartbeats until the context ends.
func (s *server) beatLoop(ctx context.Context) {
	for {
		s.mu.Lock()
		s.seq++
		b := beat{seq: s.seq, state: s.state}
		s.mu.Unlock()
		if s.announce(b) {
			s.markAcknowledged(b)
		}
		pause := heartbeatPause
		if !s.acknowledged() {
			pause = pollPause
		}
		select {
		case <-time.After(pause):
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (s *server) markAcknowledged(b beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = true
	if b.state != "draining" {
		return
	}
	s.machine.stage.record.note("%s: heartbeat %d, draining, is acknowledged", s.id, b.seq)
	if s.leaveAckedAt.IsZero() {
		s.leaveAckedAt = time.Now()
	}
}

// beat is a heartbeat. An odd one lacks some fields.
type beat struct {
	seq   int
	state string
	odd   bool
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (s *server) announce(b beat) bool {
	info := map[string]any{"service": s.machine.service, "slots": slots}
	status := map[string]any{"state": b.state, "seq": b.seq}
	if !b.odd {
		info["version"], info["zone"], status["coldRemaining"] = "v1", zone, "0ms"
	}
	raw, err := json.Marshal(map[string]any{"address": s.address, "born": s.born, "info": info, "status": status})
	if err != nil {
		return false
	}
	return s.post("instances.heartbeat", raw)
}

// post makes a call to the daemon and reports whether it was acknowledged.
func (s *server) post(call string, raw []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	url := "http://" + s.machine.control + "/rpc?call=" + call + "&of=" + s.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Target-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.runTimes = append(s.runTimes, time.Now())
	if _, again := s.firstRun[id]; !again {
		s.firstRun[id] = time.Now()
	}
	work := s.work
	s.mu.Unlock()
	s.machine.stage.record.note("%s runs %s", s.id, id)
	time.Sleep(work)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "sig-"+id)
	if n, err := strconv.Atoi(r.URL.RawQuery); err == nil {
		// The query is the length of the answer.
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = w.Write(make([]byte, n))
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}
