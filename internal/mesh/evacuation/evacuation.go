// Package evacuation knows which data centres have been evacuated: their backend servers get no
// requests until they are taken back.
//
// # Usage
//
//	t := &evacuation.Table{Common: c}
//	t.Record("quito", true, position)  // from the store's topic
//	t.Merge(states)                    // from another daemon
//	t.Subscribe(func() { ... })        // called after each change
//	if t.Evacuated("quito") { ... }
//
// The operators evacuate a data centre by a record of the store. Each daemon obeys by itself, both
// when it picks a backend server and as gatekeeper of its own, so that it suffices if one of the two
// has heard. What is known has the position of its record, so that it can be passed on without the
// store, and the later one counts. After the store came back from an older copy, what was known before
// counts for holdTime, in which operators write again what the copy lacks.
package evacuation

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// holdTime is for how long knowledge of an earlier era counts against a copy of the store.
	holdTime = 2 * time.Second
	// maxCentres bounds the data centres that are remembered, and maxName their names in bytes:
	// others can write to the store too.
	maxCentres = 256
	maxName    = 255
)

// State is what is known of one data centre.
type State struct {
	Centre    ids.Centre     `cbor:"1,keyasint"`
	Evacuated bool           `cbor:"2,keyasint,omitempty"`
	At        keyed.Position `cbor:"3,keyasint"`
}

// Table holds the state of each data centre that was ever evacuated. The zero value with a Common
// works. Its methods may be called from several goroutines.
type Table struct {
	Common *common.Common

	mu     sync.Mutex
	states map[ids.Centre]State
	// held holds what a copy of the store says against states of an earlier era.
	held     map[ids.Centre]State
	watchers []func()
	ctx      context.Context
	// evacuated is the set of evacuated data centres, or nil.
	evacuated atomic.Pointer[map[ids.Centre]bool]
}

// Name implements service.Service.
func (t *Table) Name() service.Name { return "evacuation" }

// Needs implements service.Service.
func (t *Table) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (t *Table) Start(ctx context.Context, _ service.Finder) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	return metric.CentresEvacuated.Follow(t.Common.Metrics, func() int64 { return int64(len(t.Centres())) })
}

// Stop implements service.Service.
func (t *Table) Stop(context.Context) error { return nil }

// Evacuated reports whether the backend servers of the data centre may get no requests.
func (t *Table) Evacuated(c ids.Centre) bool {
	set := t.evacuated.Load()
	return set != nil && (*set)[c]
}

// Any reports whether any data centre is evacuated.
func (t *Table) Any() bool {
	set := t.evacuated.Load()
	return set != nil && len(*set) > 0
}

// Centres returns the evacuated data centres.
func (t *Table) Centres() []ids.Centre {
	set := t.evacuated.Load()
	if set == nil {
		return nil
	}
	list := make([]ids.Centre, 0, len(*set))
	for c := range *set {
		list = append(list, c)
	}
	return list
}

// Subscribe has f called after each change of the evacuated data centres, by the task that made it.
func (t *Table) Subscribe(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers = append(t.watchers, f)
}

// Record applies a record of the store's topic, unless it was listed at the same position.
func (t *Table) Record(c ids.Centre, evacuated bool, at keyed.Position) {
	t.update("store", func() {
		if t.states[c].At != at && t.held[c].At != at {
			t.apply(State{Centre: c, Evacuated: evacuated, At: at})
		}
	})
}

// List applies the list of all evacuated data centres at a position of the topic: those that are
// missing there have been taken back.
func (t *Table) List(listed []ids.Centre, at keyed.Position) {
	t.update("store", func() {
		evacuated := map[ids.Centre]bool{}
		for _, c := range listed {
			evacuated[c] = true
		}
		for c, s := range t.states {
			if !evacuated[c] && s.At.Before(at) {
				t.applyCopy(State{Centre: c, At: at})
			}
		}
		for c := range evacuated {
			t.applyCopy(State{Centre: c, Evacuated: true, At: at})
		}
	})
}

// Merge applies what another daemon knows.
func (t *Table) Merge(states []State) {
	t.update("daemon", func() {
		for _, s := range states {
			if known, ok := t.states[s.Centre]; !ok || known.At.Before(s.At) {
				t.apply(s)
			}
		}
	})
}

// States returns what this daemon knows, for others.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]State, 0, len(t.states))
	for _, s := range t.states {
		list = append(list, s)
	}
	return list
}

// apply stores a state. The caller holds the lock.
func (t *Table) apply(s State) {
	if len(s.Centre) == 0 || len(s.Centre) > maxName {
		return
	}
	if t.states == nil {
		t.states, t.held = map[ids.Centre]State{}, map[ids.Centre]State{}
	}
	if _, known := t.states[s.Centre]; !known && len(t.states) >= maxCentres {
		return
	}
	delete(t.held, s.Centre)
	t.states[s.Centre] = s
}

// applyCopy stores a state that was read from the store as a whole, unless a later record is known. If it
// contradicts what was known
// in an earlier era, it counts later, unless a record says otherwise until then. The caller holds the
// lock.
func (t *Table) applyCopy(s State) {
	known, ok := t.states[s.Centre]
	if ok && s.At.Before(known.At) {
		return
	}
	if !ok || known.At.Era == s.At.Era || known.Evacuated == s.Evacuated || t.ctx == nil {
		t.apply(s)
		return
	}
	t.held[s.Centre] = s
	go t.release(s)
}

// release applies a state that was held back, unless another one came meanwhile.
func (t *Table) release(s State) {
	if t.Common.Clock.Sleep(t.ctx, holdTime) != nil {
		return
	}
	t.update("store", func() {
		if t.held[s.Centre] == s {
			t.apply(s)
		}
	})
}

// update makes a change and tells of it if it changed the set of evacuated data centres.
func (t *Table) update(from string, change func()) {
	t.mu.Lock()
	change()
	before, after := t.evacuated.Load(), map[ids.Centre]bool{}
	for c, s := range t.states {
		if s.Evacuated {
			after[c] = true
		}
	}
	changed := before == nil && len(after) > 0 || before != nil && !maps.Equal(*before, after)
	if changed {
		t.evacuated.Store(&after)
	}
	watchers := t.watchers
	t.mu.Unlock()
	if !changed {
		return
	}
	t.log(before, after, from)
	for _, f := range watchers {
		f()
	}
}

func (t *Table) log(before *map[ids.Centre]bool, after map[ids.Centre]bool, from string) {
	for c := range after {
		if before == nil || !(*before)[c] {
			t.Common.Info(event.CentreEvacuated, zap.String("centre", string(c)), zap.String("from", from))
		}
	}
	if before == nil {
		return
	}
	for c := range *before {
		if !after[c] {
			t.Common.Info(event.CentreTakenBack, zap.String("centre", string(c)), zap.String("from", from))
		}
	}
}
