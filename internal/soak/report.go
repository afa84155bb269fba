package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxBreaches bounds the breaches that a report lists.
const maxBreaches = 20

// Report is what one run saw.
type Report struct {
	Span     time.Duration
	Requests int
	Answered int
	Edits    int
	Accepted int
	// Faults counts the events by kind.
	Faults map[string]int
	// Invariants is how often the daemons evaluated an invariant, and Checks how
	// often the run itself looked at a daemon.
	Invariants int64
	Checks     int
	// Ejected is for how long some target was out of use.
	Ejected time.Duration
	// Settled is how long the fleet took to converge after the last fault.
	Settled  time.Duration
	Breaches []string
}

func (r *Report) add(text string) {
	if len(r.Breaches) < maxBreaches {
		r.Breaches = append(r.Breaches, text)
	}
}

// String implements fmt.Stringer.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "simulated %s: %d requests, %d answered; %d edits, %d accepted; ", r.Span.Round(time.Second), r.Requests, r.Answered, r.Edits, r.Accepted)
	fmt.Fprintf(&b, "%d invariants evaluated, %d looks at the fleet; targets out of use for %s; agreed %s after the last fault\n", r.Invariants, r.Checks, r.Ejected, r.Settled)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(&b, "  %-15s %d\n", kind, r.Faults[kind])
	}
	for _, text := range r.Breaches {
		fmt.Fprintf(&b, "  BROKEN: %s\n", text)
	}
	return b.String()
}
