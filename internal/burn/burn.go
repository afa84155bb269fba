// Package burn tracks the burn rates of the services' error budgets, and which client
// accounts and targets the bad requests belong to.
//
// # Usage
//
//	t.Record(burn.Event{Service: s, Account: a, Target: x, Good: false})
//	tally := t.Tally()                          // this daemon's counts
//	reports := burn.Report(tallies, objectives) // over several daemons
package burn

import (
	"context"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/window"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Windows are the spans over which burn rates are computed, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// maxTracked bounds how many services, client accounts at a service and targets are
// tracked, each on its own.
const maxTracked = 4096

// Tracker counts the good and bad requests of this daemon. It is safe for concurrent use.
type Tracker struct {
	Common *common.Common

	mu       sync.Mutex
	services map[ids.Service]*window.Window
	accounts map[accountKey]*window.Window
	targets  map[targetKey]*window.Window
}

type accountKey struct {
	service ids.Service
	account ids.Account
}

type targetKey struct {
	service ids.Service
	target  ids.Target
}

// Event is one request that ended. A request is bad when it failed for a reason that is
// not the caller's, or took longer than the service's latency objective.
type Event struct {
	Service ids.Service
	Account ids.Account
	Target  ids.Target
	Good    bool
}

// Name implements service.Service.
func (t *Tracker) Name() service.Name { return "burn" }

// Needs implements service.Service.
func (t *Tracker) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (t *Tracker) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (t *Tracker) Stop(context.Context) error { return nil }

// Record counts one request. Accounts and targets are tracked from their first bad
// request on, since only bad requests spend the error budget. Requests of a service beyond
// maxTracked are not counted for the service.
func (t *Tracker) Record(e Event) {
	now := t.Common.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = map[ids.Service]*window.Window{}
		t.accounts = map[accountKey]*window.Window{}
		t.targets = map[targetKey]*window.Window{}
	}
	if w := windowOf(t.services, e.Service, true); w != nil {
		w.Add(now, e.Good)
	}
	if w := windowOf(t.accounts, accountKey{e.Service, e.Account}, !e.Good); w != nil {
		w.Add(now, e.Good)
	}
	if w := windowOf(t.targets, targetKey{e.Service, e.Target}, !e.Good); w != nil {
		w.Add(now, e.Good)
	}
}

// windowOf returns the window of k. Without one it creates it if create is set and m has
// fewer than maxTracked windows, and otherwise returns nil.
func windowOf[K comparable](m map[K]*window.Window, k K, create bool) *window.Window {
	w, ok := m[k]
	if ok || !create || len(m) >= maxTracked {
		return w
	}
	w = &window.Window{}
	m[k] = w
	return w
}

// Tally is one daemon's counts over the Windows. Daemons send it to each other.
type Tally struct {
	Services []ServiceCount `cbor:"1,keyasint,omitempty"`
	Accounts []AccountCount `cbor:"2,keyasint,omitempty"`
	Targets  []TargetCount  `cbor:"3,keyasint,omitempty"`
}

// ServiceCount holds the counts of one service over the Windows, and per minute over
// the last hour.
type ServiceCount struct {
	Service ids.Service    `cbor:"1,keyasint"`
	Counts  []window.Count `cbor:"2,keyasint"`
	Series  []window.Count `cbor:"3,keyasint,omitempty"`
}

// AccountCount holds the counts of one client account at one service.
type AccountCount struct {
	Service ids.Service    `cbor:"1,keyasint"`
	Account ids.Account    `cbor:"2,keyasint"`
	Counts  []window.Count `cbor:"3,keyasint"`
}

// TargetCount holds the counts of one target.
type TargetCount struct {
	Service ids.Service    `cbor:"1,keyasint"`
	Target  ids.Target     `cbor:"2,keyasint"`
	Counts  []window.Count `cbor:"3,keyasint"`
}

// Tally returns this daemon's counts. It evicts the services without a request, and the
// accounts and targets without a bad one, in the longest window.
func (t *Tracker) Tally() Tally {
	now := t.Common.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var tally Tally
	counts := func(w *window.Window) []window.Count {
		var list []window.Count
		for _, span := range Windows {
			list = append(list, w.Last(now, span))
		}
		return list
	}
	for id, w := range t.services {
		c := counts(w)
		if longest := c[len(c)-1]; longest.Good+longest.Bad == 0 {
			delete(t.services, id)
			continue
		}
		tally.Services = append(tally.Services, ServiceCount{Service: id, Counts: c, Series: w.Series(now)})
	}
	for k, w := range t.accounts {
		c := counts(w)
		if c[len(c)-1].Bad == 0 {
			delete(t.accounts, k)
			continue
		}
		tally.Accounts = append(tally.Accounts, AccountCount{Service: k.service, Account: k.account, Counts: c})
	}
	for k, w := range t.targets {
		c := counts(w)
		if c[len(c)-1].Bad == 0 {
			delete(t.targets, k)
			continue
		}
		tally.Targets = append(tally.Targets, TargetCount{Service: k.service, Target: k.target, Counts: c})
	}
	return tally
}
