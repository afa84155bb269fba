// Package chooser picks a target by the power of two random choices.
//
// # Usage
//
//	var c chooser.Chooser
//	i := c.Pick(rng, candidates)
//	c.Learn(now, answer.Load)
//
// Load comes back on every answer and refusal; there is no other load traffic.
package chooser

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/ids"
)

// Chooser remembers the last load of each target. The zero value knows nothing.
type Chooser struct {
	mu   sync.Mutex
	seen map[ids.Target]*view
}

// view is what this daemon knows of one target.
type view struct {
	load call.Load
	// open counts this daemon's own requests since the last report.
	open int
}

// typicalUnknown stands in for the time of one request at a target that has not
// reported yet.
const typicalUnknown = 50 * time.Millisecond

// remotePenalty is added to the estimate of targets in other data centres.
const remotePenalty = 5 * time.Millisecond

// Pick returns the index of the better one of two random candidates, or -1.
func (c *Chooser) Pick(rng *rand.Rand, near ids.Centre, list []directory.Candidate) int {
	switch len(list) {
	case 0:
		return -1
	case 1:
		return 0
	}
	i := rng.IntN(len(list))
	j := rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait(near, list[j]) < c.wait(near, list[i]) {
		return j
	}
	return i
}

// wait estimates how long a request would take at the target.
func (c *Chooser) wait(near ids.Centre, t directory.Candidate) time.Duration {
	typical := typicalUnknown
	busy := 0
	slots := max(int(t.Slots), 1)
	if v, ok := c.seen[t.ID]; ok {
		busy = v.load.InFlight + v.load.Queued + v.open
		if v.load.Typical > 0 {
			typical = v.load.Typical
		}
	}
	wait := typical + typical*time.Duration(busy)/time.Duration(slots)
	if t.Centre != near {
		wait += remotePenalty
	}
	return wait
}

// Begin notes that this daemon sends a request to the target.
func (c *Chooser) Begin(id ids.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view(id).open++
}

// Learn stores the load that came back with an answer or a refusal.
func (c *Chooser) Learn(l call.Load) {
	if l.Target == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(l.Target)
	v.load = l
	v.open = 0
}

func (c *Chooser) view(id ids.Target) *view {
	if c.seen == nil {
		c.seen = map[ids.Target]*view{}
	}
	v, ok := c.seen[id]
	if !ok {
		v = &view{}
		c.seen[id] = v
	}
	return v
}
