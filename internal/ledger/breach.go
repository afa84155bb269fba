package ledger

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Breach is a promise that was broken. The interface is sealed.
type Breach interface {
	fmt.Stringer
	isBreach()
}

// Twice is a non-idempotent request that ran more than once.
type Twice struct {
	Request string
	Runs    int
}

// RanUnrun is a request that ran although its refusal said that it did not.
type RanUnrun struct{ Request string }

// Crossed is an answer that belongs to another request.
type Crossed struct{ Request string }

// Exceeded is a client account that got more than its rate and burst.
type Exceeded struct {
	Account  ids.Account
	From, To time.Duration
	Got      int
	Allowed  float64
}

func (Twice) isBreach()    {}
func (RanUnrun) isBreach() {}
func (Crossed) isBreach()  {}
func (Exceeded) isBreach() {}

// String implements fmt.Stringer.
func (b Twice) String() string {
	return fmt.Sprintf("request %s is not idempotent and ran %d times", b.Request, b.Runs)
}

// String implements fmt.Stringer.
func (b RanUnrun) String() string {
	return fmt.Sprintf("request %s ran, but was refused as unrun", b.Request)
}

// String implements fmt.Stringer.
func (b Crossed) String() string {
	return fmt.Sprintf("request %s got an answer that is not its own", b.Request)
}

// String implements fmt.Stringer.
func (b Exceeded) String() string {
	return fmt.Sprintf("client account %s got %d requests from %s to %s, but its rate and burst allow %.0f",
		b.Account, b.Got, b.From, b.To, b.Allowed)
}

// Breaches checks every line against how often each request ran and against the
// accounts' limits.
func (l *Ledger) Breaches(limits map[ids.Account]settings.Account, runs map[string]int) []Breach {
	var found []Breach
	byAccount := map[ids.Account][]Line{}
	for _, line := range l.Lines() {
		n := runs[line.Request]
		if !line.Idempotent && n > 1 {
			found = append(found, Twice{Request: line.Request, Runs: n})
		}
		if line.Verdict == verdict.Unrun && n > 0 {
			found = append(found, RanUnrun{Request: line.Request})
		}
		if line.Wrong {
			found = append(found, Crossed{Request: line.Request})
		}
		if admitted(line) {
			byAccount[line.Account] = append(byAccount[line.Account], line)
		}
	}
	for id, lines := range byAccount {
		if limit, ok := limits[id]; ok {
			found = append(found, exceeded(id, limit, lines)...)
		}
	}
	return found
}

// admitted reports whether the request took a token of its account.
func admitted(line Line) bool {
	return line.Verdict == verdict.Ran || line.Status == http.StatusBadGateway || line.Status == http.StatusGatewayTimeout
}

// grid is the step of the intervals that are checked.
const grid = 250 * time.Millisecond

// exceeded looks for an interval in which more requests were surely admitted than
// rate and burst allow: those sent after its start and done before its end.
func exceeded(id ids.Account, limit settings.Account, lines []Line) []Breach {
	if len(lines) == 0 {
		return nil
	}
	cells := int(lines[len(lines)-1].Done/grid) + 2
	for _, line := range lines {
		cells = max(cells, int(line.Done/grid)+2)
	}
	for from := range cells {
		inside := make([]int, cells+1)
		for _, line := range lines {
			if line.Sent >= time.Duration(from)*grid {
				end := int(math.Ceil(float64(line.Done) / float64(grid)))
				inside[end]++
			}
		}
		got := 0
		for to := from; to <= cells; to++ {
			got += inside[to]
			span := time.Duration(to-from) * grid
			allowed := float64(limit.Rate)*span.Seconds() + float64(limit.Burst)
			if float64(got) > allowed {
				return []Breach{Exceeded{Account: id, From: time.Duration(from) * grid, To: time.Duration(to) * grid, Got: got, Allowed: allowed}}
			}
		}
	}
	return nil
}
