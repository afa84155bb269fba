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

// Alarm says how urgent a service's burn is.
type Alarm string

// The alarms, most urgent first.
const (
	// Page means that the budget of 30 days would be spent in about two days.
	Page Alarm = "page"
	// Ticket means that the budget would not last for its 30 days.
	Ticket Alarm = "ticket"
	Quiet  Alarm = "quiet"
)

// Burn rates from which an alarm is raised; both of its windows must be over, so
// that it ends soon after the fault does.
const (
	pageRate   = 14.4
	ticketRate = 1.0
)

// maxSpenders is how many client accounts and targets a report names.
const maxSpenders = 5

// Objective is what a service promises.
type Objective struct {
	Share   units.Percent
	Latency time.Duration
}

// ServiceReport is one service in a report.
type ServiceReport struct {
	Service   ids.Service    `json:"service"`
	Objective units.Percent  `json:"objective"`
	Alarm     Alarm          `json:"alarm"`
	Windows   []WindowReport `json:"windows"`
	Accounts  []Spender      `json:"accounts"`
	Targets   []Spender      `json:"targets"`
	Series    []window.Count `json:"series"`
}

// WindowReport is a service's burn over one window. A rate of 1 spends the budget
// exactly within its 30 days.
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

// Report adds up the daemons' counts. Services without an objective are left out.
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

func addCounts(sum, more []window.Count) []window.Count {
	if sum == nil {
		return slices.Clone(more)
	}
	for i := range min(len(sum), len(more)) {
		sum[i] = sum[i].Plus(more[i])
	}
	return sum
}

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

// formatSpan writes a window as whole hours or minutes.
func formatSpan(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// burnRate returns how many times faster than allowed the budget is spent.
func burnRate(c window.Count, o Objective) float64 {
	budget := (100 - float64(o.Share)) / 100
	if budget <= 0 {
		return 0
	}
	return c.BadShare() / budget
}

// alarmFor judges by a short and a long window together.
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
