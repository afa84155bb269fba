// Package capacity works out from measured slopes what each role of a daemon costs
// at the users' target.
//
// # Usage
//
//	page := capacity.Page{Slopes: s}
//	text, err := page.Fill(old) // replaces what stands between the markers
package capacity

import (
	"bytes"
	"fmt"
	"math"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/slopes"
)

// The markers between which the page is generated.
const (
	begin = "<!-- generated from docs/slopes.json by go run ./cmd/balsamdocs -->\n"
	end   = "<!-- end -->\n"
)

// Page is docs/CAPACITY.md.
type Page struct{ Slopes slopes.Slopes }

// Fill replaces the generated part of the page.
func (p Page) Fill(old []byte) ([]byte, error) {
	head, rest, ok := bytes.Cut(old, []byte(begin))
	if !ok {
		return nil, errorx.IllegalFormat.New("the page has no line %q", begin)
	}
	_, tail, ok := bytes.Cut(rest, []byte(end))
	if !ok {
		return nil, errorx.IllegalFormat.New("the page has no line %q", end)
	}
	return bytes.Join([][]byte{head, []byte(begin), p.tables(), []byte(end), tail}, nil), nil
}

func (p Page) tables() []byte {
	c := costs{p.Slopes}
	var b bytes.Buffer
	rest := c.rest()
	b.WriteString("\n### Every daemon\n\n")
	header(&b)
	line(&b, rest, rest)
	b.WriteString("\n### Roles on top\n\nThe verdict is on the role together with the row above.\n\n")
	header(&b)
	for _, r := range c.roles() {
		line(&b, r, sum(rest, r))
	}
	c.memoryTable(&b)
	c.perRequest(&b)
	fmt.Fprintf(&b, "\n### Changes\n\nFrom an append until it is in force, median in four daemons: %.1f s (budget %.0f s): %s.\n\n",
		c.Work.Force/microsPerSec, budgetForce, verdict(c.Work.Force/microsPerSec, budgetForce))
	return b.Bytes()
}

func header(b *bytes.Buffer) {
	b.WriteString("| role | state | messages/s | KB/s | processor ms/s | memory MB | verdict | mechanism |\n|---|---|---|---|---|---|---|---|\n")
}

func line(b *bytes.Buffer, r, total role) {
	fmt.Fprintf(b, "| %s | %s | %.1f | %.1f | %.1f | %.1f | %s | %s |\n",
		r.name, r.state, r.messages, r.bytes, r.processor, r.memory, judge(total), r.mechanism)
}

func sum(a, b role) role {
	a.messages += b.messages
	a.bytes += b.bytes
	a.processor += b.processor
	a.memory += b.memory
	return a
}

// judge compares a daemon's costs with its budgets.
func judge(r role) string {
	var b bytes.Buffer
	for _, one := range []struct {
		name          string
		value, budget float64
	}{{"KB/s", r.bytes, budgetBytes}, {"processor", r.processor, budgetProcessor}, {"memory", r.memory, budgetMemory}} {
		if one.value > one.budget {
			fmt.Fprintf(&b, "%s %s; ", one.name, verdict(one.value, one.budget))
		}
	}
	if b.Len() == 0 {
		return "within"
	}
	return string(bytes.TrimSuffix(b.Bytes(), []byte("; ")))
}

// verdict says whether a value is within its budget, or by how much it is over.
func verdict(value, budget float64) string {
	if value <= budget {
		return "within"
	}
	return fmt.Sprintf("over by a factor of %.1f", value/budget)
}

func (c costs) memoryTable(b *bytes.Buffer) {
	m := c.Memory
	b.WriteString("\n### Memory of every daemon\n\n| state | number | bytes each | MB |\n|---|---|---|---|\n")
	for _, r := range []struct {
		name          string
		number, bytes float64
	}{
		{"a daemon with its services", 1, m.Base},
		{"route", routes, m.Route},
		{"client account", accounts, m.Account},
		{"key", accounts * keysPerAccount, m.Key},
		{"member", daemons, m.Member},
		{"target", targets, m.Target},
		{"daemon in eight rosters", daemons, m.Seat},
	} {
		fmt.Fprintf(b, "| %s | %.0f | %.0f | %.1f |\n", r.name, r.number, r.bytes, r.number*r.bytes/megabyte)
	}
}

// perRequest is what requests cost, which the budget for control does not hold.
func (c costs) perRequest(b *bytes.Buffer) {
	cost := c.Work.Request - c.Work.Direct
	fmt.Fprintf(b, "\n### Requests\n\nNot part of the budget for control. A request costs entry and gatekeeper %.0f µs together; a daemon\n"+
		"with its part of the peak, %.0f requests a second, spends %.1f%% of a core on them. Of its connections\n"+
		"to gatekeepers, %.0f a second would be opened anew, which costs %.1f%% of a core more with sessions resumed.\n"+
		"Guards exchange up to %.0f messages a second with %.0f%% of the requests under an idempotency key. In its window\n"+
		"of 10 minutes there are about %.0f rosters; the guard remembers %.0f: %s.\n",
		cost, each, each*cost/microsPerSec*100, c.opened(), c.opened()*c.Work.Resume/2/microsPerSec*100,
		2*guardSteps*each*idempotent, idempotent*100,
		rosters()/secondsDay*guardWindow, rostersKept, verdict(rosters()/secondsDay*guardWindow, rostersKept))
}

// opened is the connections a second that a daemon opens or accepts, because the
// last request between the two was longer ago than a connection lasts. Requests
// go alike to all daemons of the subsets.
func (c costs) opened() float64 {
	return 2 * each * math.Exp(-each/entryPeers*idleTime.Seconds())
}
