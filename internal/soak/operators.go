package soak

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
)

const (
	team           ids.Team = "andrade"
	rootCredential          = "root-credential"
	credential              = "andrade-credential"
	// raced is the section that racing operators edit.
	raced ids.Path = "teams/andrade/services/quotes"
	// varied is the account whose limits change.
	varied = "varied"
)

// limits are the client accounts and the most that each is ever allowed.
var limits = map[ids.Account]settings.Account{
	"andrade/steady": {Rate: 60, Burst: 30, Weight: 1},
	"andrade/greedy": {Rate: 4, Burst: 4, Weight: 1},
	"andrade/varied": limitsOf(true),
}

func firstKey(id ids.Account) ids.Path {
	return settings.PathOf(team, settings.KindKey, "first-"+string(id[len(team)+1:]))
}

// publishFirst writes the first settings to the log.
func (s *Soak) publishFirst() {
	s.first("teams/root", map[string]string{"credential": string(bearer.HashOf(rootCredential))})
	s.first("teams/andrade", map[string]string{"credential": string(bearer.HashOf(credential))})
	for _, id := range servicesOf {
		name := string(id[len(team)+1:])
		s.first(settings.PathOf(team, settings.KindService, name), map[string]string{"deadline": "2s"})
		s.first(settings.PathOf(team, settings.KindRoute, name), map[string]string{"prefix": "/" + name, "service": name})
	}
	for _, name := range []string{"steady", "greedy", varied} {
		id := ids.AccountOf(team, name)
		s.first(settings.PathOf(team, settings.KindAccount, name), values(limits[id]))
		k := newKey(firstKey(id), id)
		k.present = true
		s.keys.add(k)
		s.first(k.path, map[string]string{"hash": string(k.hash()), "account": name})
	}
}

func values(a settings.Account) map[string]string {
	return map[string]string{"rate": strconv.FormatFloat(float64(a.Rate), 'g', -1, 64), "burst": strconv.Itoa(a.Burst)}
}

// first appends one of the first settings, which can't conflict.
func (s *Soak) first(path ids.Path, values map[string]string) {
	e := record.Edit{ID: ids.Edit("first " + string(path)), Path: path, Values: values, Credential: bearer.HashOf(credential)}
	if settings.KindOf(path) == settings.KindTeam {
		e.Credential = bearer.HashOf(rootCredential)
	}
	data, err := record.Encode(e)
	if err != nil {
		s.breach("encode %s: %v", path, err)
		return
	}
	at, err := s.log.Append(context.Background(), platformlog.Settings, data)
	if err != nil {
		s.breach("append %s: %v", path, err)
		return
	}
	s.edits.accept(path, accepted{version: at})
}

// edit runs an operator's edit.
func (s *Soak) edit(f Fault) {
	n := s.edits.next()
	switch f := f.(type) {
	case Grant:
		s.grant(n)
	case Withdraw:
		s.withdraw(n, f)
	case Race:
		var wg sync.WaitGroup
		for i := range f.Racers {
			wg.Go(func() {
				deadline := fmt.Sprintf("%dms", 2000+(f.Pick+i)%100)
				s.submit(n+i, record.Edit{Path: raced, Values: map[string]string{"deadline": deadline}})
			})
		}
		wg.Wait()
	case Rate:
		s.submit(n, record.Edit{Path: settings.PathOf(team, settings.KindAccount, varied), Values: values(f.To)})
	}
}

func (s *Soak) grant(n int) {
	names := []string{"steady", "greedy", varied}
	name := names[n%len(names)]
	k := newKey(settings.PathOf(team, settings.KindKey, "extra-"+strconv.Itoa(n)), ids.AccountOf(team, name))
	s.keys.add(k)
	if _, ok := s.submit(n, record.Edit{Path: k.path, Values: map[string]string{"hash": string(k.hash()), "account": name}}); ok {
		s.keys.change(func() { k.present = true })
	}
}

func (s *Soak) withdraw(n int, f Withdraw) {
	k := s.keys.extra(f.Pick)
	if k == nil {
		return
	}
	if at, ok := s.submit(n, record.Edit{Path: k.path, Remove: true}); ok {
		s.keys.change(func() { k.removed = at })
	}
}

// submit publishes an edit through a daemon and reports where it was accepted.
func (s *Soak) submit(n int, e record.Edit) (ids.Offset, bool) {
	l := s.nodes[n%daemons].enter()
	if l == nil {
		return 0, false
	}
	defer l.inside.Done()
	l.tail.View(func(state *replay.State) {
		if present, ok := state.Get(e.Path); ok {
			e.Base = present.Version
		}
	})
	e.Credential = bearer.HashOf(credential)
	s.edits.try(e.Path, e.Remove)
	ctx, cancel := l.within(context.Background())
	defer cancel()
	receipt, _ := l.publish.Submit(ctx, e)
	a, ok := receipt.Result.(publish.Accepted)
	s.mu.Lock()
	s.report.Edits++
	if ok {
		s.report.Accepted++
	}
	s.mu.Unlock()
	if ok {
		s.edits.accept(e.Path, accepted{version: a.Version, remove: e.Remove})
	}
	return a.Version, ok
}
