package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	body       string
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
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		m.stage.record.note("caller at %s: %s %s %s, the answer broke off: %v", m.name, id, method, path, err)
		return answer{id: id}
	}
	m.stage.record.note("caller at %s: %s %s %s, answered %d", m.name, id, method, path, resp.StatusCode)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{id: id, status: resp.StatusCode, body: string(raw), retryAfter: time.Duration(seconds * float64(time.Second))}
}
