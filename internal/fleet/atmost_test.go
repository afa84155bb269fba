package fleet_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// closer closes connections of a backend server at random moments: while they
// are idle, before an answer, and within one.
type closer struct {
	mu    sync.Mutex
	rng   *rand.Rand
	conns map[net.Conn]bool
}

// note follows the server's connections.
func (c *closer) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.conns[conn] = true
	case http.StateClosed:
		delete(c.conns, conn)
	}
}

// strike closes each connection with some probability.
func (c *closer) strike() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		if c.rng.IntN(6) == 0 {
			_ = conn.Close()
		}
	}
}

// sent is one request and what its caller was told.
type sent struct {
	name    string
	verdict string
}

// A request reaches a backend server once at most while connections close under
// load, and a refusal as unrun is true.
func TestAtMostOnce(t *testing.T) {
	f := start(t)
	c := &closer{rng: rand.New(rand.NewPCG(3, 4)), conns: map[net.Conn]bool{}}
	for _, d := range f.Daemons {
		d.Follow(c.note)
	}
	const callers, each = 16, 120
	results := make(chan sent, callers*each)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range each {
				name := fmt.Sprintf("%d-%d", caller, i)
				results <- sent{name: name, verdict: deposit(f.Daemons[i%2].Callers, name, caller)}
				if i%4 == 0 {
					c.strike()
				}
			}
		})
	}
	wg.Wait()
	close(results)
	counts := map[string]int{}
	for r := range results {
		counts[r.verdict]++
		runs := f.Daemons[0].Standin.Runs(r.name) + f.Daemons[1].Standin.Runs(r.name)
		must.LessEq(t, 1, runs, must.Sprintf("%s (%s)", r.name, r.verdict))
		if r.verdict == "unrun" {
			must.Zero(t, runs)
		}
	}
	must.Positive(t, counts["ran"])
	must.Positive(t, counts["maybe"]+counts["cut"])
}

// deposit sends a non-idempotent request, by turns with a body and with a key that
// makes net/http's own client repeat it.
func deposit(base, name string, caller int) string {
	var body io.Reader
	if caller%2 == 0 {
		body = strings.NewReader(strings.Repeat(name, 10))
	}
	req, err := http.NewRequest("POST", base+"/deposits", body)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Request", name)
	if caller%4 < 2 {
		req.Header["Idempotency-Key"] = []string{name}
	}
	req.Close = true // this caller's own transport must not repeat it either
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return "cut"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return resp.Header.Get("Verdict")
}
