package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callerTimeout is how long callers wait for an answer.
const callerTimeout = 3 * time.Second

var lastID atomic.Int64

// answer is what a caller got: a status, or zero if there was none.
type answer struct {
	id         string
	status     int
	retryAfter time.Duration
}

// call sends one request to the daemon of a machine. Each attempt has an id of its own.
func (m *machine) call(method, path, body string) answer {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{id: id}
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Timeout-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	req.Header.Set("Credential", key)
	m.stage.sent.Store(id, time.Now())
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		m.stage.record.note("caller at %s: %s %s %s, no answer: %v", m.name, id, method, path, err)
		return answer{id: id}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		m.stage.record.note("caller at %s: %s %s %s, the answer broke off: %v", m.name, id, method, path, err)
		return answer{id: id}
	}
	m.stage.record.note("caller at %s: %s %s %s, answered %d", m.name, id, method, path, resp.StatusCode)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{id: id, status: resp.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// chargePause is the pause of one caller between two deposits.
const chargePause = 60 * time.Millisecond

// isPromise reports whether a status says that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// charge sends deposits from one caller at each machine for a time. As the platform's pages say of
// callers, a deposit is sent once more after a promise that it did not run.
func (s *stage) charge(path string, during time.Duration) {
	var callers sync.WaitGroup
	until := time.Now().Add(during)
	for _, m := range s.machines {
		callers.Go(func() {
			for time.Now().Before(until) {
				body := fmt.Sprintf("deposit %d", s.deposits.Add(1))
				if a := m.call(http.MethodPost, path, body); isPromise(a.status) {
					time.Sleep(a.retryAfter)
					m.call(http.MethodPost, path, body)
				}
				time.Sleep(chargePause)
			}
		})
	}
	callers.Wait()
}
