package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// settlePause is the time between two looks at whether all agree.
const settlePause = 500 * time.Millisecond

// settle waits until all daemons agree.
func (s *Soak) settle(when string) {
	began := time.Now()
	limit := calm
	if len(s.report.Faults) == 0 {
		limit = warmUp
	}
	for {
		why := s.apart()
		if why == "" {
			break
		}
		if time.Since(began) > limit {
			s.breach("%s the daemons don't agree within %s: %s", when, limit, why)
			return
		}
		time.Sleep(settlePause)
	}
	s.report.Settled = time.Since(began)
}

// apart returns in what the daemons differ, or "".
func (s *Soak) apart() string {
	var at ids.Offset
	var digest replay.Digest
	for i, n := range s.nodes {
		l := n.current()
		if l == nil {
			return fmt.Sprintf("%s is down", n.id)
		}
		if why := l.behind(); why != "" {
			return fmt.Sprintf("%s %s", n.id, why)
		}
		l.tail.View(func(state *replay.State) {
			if i == 0 {
				at, digest = state.Offset(), state.Digest()
			}
			if state.Offset() != at || state.Digest() != digest {
				at = 0
			}
		})
		if at == 0 {
			return fmt.Sprintf("%s has other settings than %s", n.id, s.nodes[0].id)
		}
	}
	return ""
}

// behind returns what a daemon lacks, or "".
func (l *life) behind() string {
	if !l.standing.Confirmed() {
		return "is not confirmed"
	}
	if n := len(l.standing.Roster().Entries); n != daemons {
		return fmt.Sprintf("has a roster of %d daemons", n)
	}
	for _, e := range l.standing.Roster().Entries {
		if m, ok := l.directory.Member(e.Daemon); !ok || m.Incarnation != e.Incarnation {
			return fmt.Sprintf("has an old incarnation of %s in its roster", e.Daemon)
		}
	}
	for _, id := range servicesOf {
		if n := len(l.directory.Targets(id)); n != daemons/len(servicesOf) {
			return fmt.Sprintf("knows %d targets of %s", n, id)
		}
	}
	return ""
}

// last checks at the end that every key has its right effect at every daemon and
// that every client account is served.
func (s *Soak) last() {
	valid, withdrawn := s.keys.list()
	for _, n := range s.nodes {
		l := n.current()
		if l == nil {
			s.breach("daemon %s is down at the end", n.id)
			continue
		}
		for i, k := range withdrawn {
			if _, status, err := l.serve(s.final(n, i, k)); status != http.StatusUnauthorized {
				s.breach("withdrawn key %s gets status %d (%v) from %s at the end", k.path, status, err, n.id)
			}
		}
		for _, k := range valid {
			if _, ok := l.account(k); !ok {
				s.breach("key %s is unknown to %s at the end", k.path, n.id)
			}
		}
		for i, k := range valid[:len(limits)] {
			s.served(l, n, i, k)
		}
	}
}

func (s *Soak) final(n *node, i int, k *key) query {
	return query{name: fmt.Sprintf("last-%s-%d-%d", n.id, i, rand.Uint32()), service: servicesOf[i%len(servicesOf)], key: k}
}

// served asks until the account's request is answered, as its rate allows.
func (s *Soak) served(l *life, n *node, i int, k *key) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*timeout)
	defer cancel()
	for {
		_, status, err := l.serve(s.final(n, i, k))
		if status == http.StatusOK {
			return
		}
		if ctx.Err() != nil {
			s.breach("account %s gets status %d, %s (%v) from %s at the end", k.account, status, verdict.Of(err), err, n.id)
			return
		}
		time.Sleep(settlePause)
	}
}

// account returns the account that the daemon takes the key for.
func (l *life) account(k *key) (ids.Account, bool) {
	var id ids.Account
	var ok bool
	l.tail.View(func(state *replay.State) { id, ok = state.AccountByKey(k.hash()) })
	return id, ok && id == k.account
}
