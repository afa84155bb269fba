package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/window"
)

// Alarm is the severity of a service's burn rate.
type Alarm string

// The alarms, most urgent first.
const (
	// Page means that at this rate the error budget of 30 days is spent in about two days.
	Page Alarm = "page"
	// Ticket means that at this rate the error budget does not last for its 30 days.
	Ticket Alarm = "ticket"
	// Quiet means that no alarm is raised.
	Quiet Alarm = "quiet"
)

// Burn rates from which an alarm is raised. Both of its windows must reach the rate: the
// short one makes the alarm end soon after the fault does.
const (
	pageRate   = 14.4
	ticketRate = 1.0
)

// maxSpenders is how many client accounts and how many targets a report lists.
const maxSpenders = 5

// Objective is the service-level objective of a service: the share of requests that must
// be good, and the latency up to which a request is good.
type Objective struct {
	Share   units.Percent
	Latency time.Duration
}

// ServiceReport is the burn of one service. Accounts and Targets list those with the most
// bad requests first; Series holds the counts per minute of the last hour, oldest first.
type ServiceReport struct {
	Service   ids.Service    `json:"service"`
	Objective units.Percent  `json:"objective"`
	Alarm     Alarm          `json:"alarm"`
	Windows   []WindowReport `json:"windows"`
	Accounts  []Spender      `json:"accounts"`
	Targets   []Spender      `json:"targets"`
	Series    []window.Count `json:"series"`
}

// WindowReport is a service's burn over one window. A burn rate of 1 spends the error
// budget in exactly 30 days.
type WindowReport struct {
	Span string  `json:"span"`
	Good uint64  `json:"good"`
	Bad  uint64  `json:"bad"`
	Rate float64 `json:"rate"`
}

// Spender is a client account or a target with its share of the bad requests of
// the longest window.
type Spender struct {
	Name  string  `json:"name"`
	Bad   uint64  `json:"bad"`
	Share float64 `json:"share"`
}

// Report sums the daemons' counts and returns one report for each service, sorted by
// name. It omits services without an objective.
func Report(tallies []Tally, objectives map[ids.Service]Objective) []ServiceReport {
	services := map[ids.Service][]window.Count{}
	series := map[ids.Service][]window.Count{}
	accounts := map[ids.Service]map[string]uint64{}
	targets := map[ids.Service]map[string]uint64{}
	for _, t := range tallies {
		for _, s := range t.Services {
			services[s.Service] = addCounts(services[s.Service], s.Counts)
			series[s.Service] = addCounts(series[s.Service], s.Series)
		}
		for _, a := range t.Accounts {
			addBad(accounts, a.Service, string(a.Account), a.Counts)
		}
		for _, x := range t.Targets {
			addBad(targets, x.Service, string(x.Target), x.Counts)
		}
	}
	var reports []ServiceReport
	for id, counts := range services {
		objective, ok := objectives[id]
		if !ok || len(counts) != len(Windows) {
			continue
		}
		bad := counts[len(counts)-1].Bad
		report := reportOf(id, objective, counts)
		report.Accounts = topSpenders(accounts[id], bad)
		report.Targets = topSpenders(targets[id], bad)
		report.Series = series[id]
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	return reports
}

// addCounts adds more to sum by position and returns it. It copies more when sum is nil.
func addCounts(sum, more []window.Count) []window.Count {
	if sum == nil {
		return slices.Clone(more)
	}
	for i := range min(len(sum), len(more)) {
		sum[i] = sum[i].Plus(more[i])
	}
	return sum
}

// addBad adds the bad requests of the longest window to those of the name.
func addBad(m map[ids.Service]map[string]uint64, id ids.Service, name string, counts []window.Count) {
	if len(counts) == 0 {
		return
	}
	if m[id] == nil {
		m[id] = map[string]uint64{}
	}
	m[id][name] += counts[len(counts)-1].Bad
}

func reportOf(id ids.Service, o Objective, counts []window.Count) ServiceReport {
	report := ServiceReport{Service: id, Objective: o.Share}
	var rates []float64
	for i, c := range counts {
		rate := burnRate(c, o)
		rates = append(rates, rate)
		report.Windows = append(report.Windows, WindowReport{Span: formatSpan(Windows[i]), Good: c.Good, Bad: c.Bad, Rate: rate})
	}
	report.Alarm = alarmFor(rates)
	return report
}

// formatSpan formats a window's length in whole hours or minutes.
func formatSpan(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// burnRate returns the share of bad requests divided by the share that the objective
// allows. It is 0 for an objective of 100 percent, which has no error budget.
func burnRate(c window.Count, o Objective) float64 {
	budget := (100 - float64(o.Share)) / 100
	if budget <= 0 {
		return 0
	}
	return c.BadShare() / budget
}

// alarmFor returns the alarm for the burn rates of the Windows: Page for 5 minutes and an
// hour, Ticket for 6 and 72 hours.
func alarmFor(rates []float64) Alarm {
	switch {
	case rates[0] >= pageRate && rates[1] >= pageRate:
		return Page
	case rates[2] >= ticketRate && rates[3] >= ticketRate:
		return Ticket
	default:
		return Quiet
	}
}

// topSpenders returns the maxSpenders names with the most bad requests, most first.
func topSpenders(bad map[string]uint64, total uint64) []Spender {
	var list []Spender
	for name, n := range bad {
		if n > 0 {
			list = append(list, Spender{Name: name, Bad: n, Share: float64(n) / float64(max(total, 1))})
		}
	}
	slices.SortFunc(list, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(maxSpenders, len(list))]
}

// Percent returns the spender's share in percent.
func (s Spender) Percent() float64 { return 100 * s.Share }
