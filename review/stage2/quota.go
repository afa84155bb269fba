package main

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
)

const (
	quotaMachines = 8
	quotaWindow   = 5 * time.Second
	quotaOverrun  = 0.1
	quotaSlack    = 20
	// accountRate and accountBurst are the limits of the account.
	accountRate, accountBurst = 200, 20
	// callersPerMachine send a request each usualPauses * hotPause, or each hotPause while their account
	// is hot. With 32 of them that is 125 a second, of which the limit is 1.6 times, and 7 times as many.
	callersPerMachine = 4
	hotPause          = 36500 * time.Microsecond
	usualPauses       = 7
	// rounds is how many times the account is hot, for how long and after which pause.
	rounds    = 9
	hotTime   = 8 * time.Second
	calmPause = 2 * time.Second
	// lostDaemons is how many daemons are lost in each round, for how long and how soon.
	lostDaemons = 2
	lostTime    = 3400 * time.Millisecond
	lostAfter   = 500 * time.Millisecond
)

// playQuota lets the two daemons that come first as leaders of the account be lost for a while, several
// times, and checks the account's limit.
func playQuota(s *stage, trouble bool) (bool, error) {
	s.rate, s.burst = accountRate, accountBurst
	reads := route{prefix: "/quotes/", kind: "safe", service: "quotes", timeout: 3 * time.Second, aim: 800 * time.Millisecond}
	if err := s.configure([]route{reads}); err != nil {
		return false, err
	}
	for range quotaMachines {
		if _, err := s.add(reads.service); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	var hot, ended atomic.Bool
	var callers sync.WaitGroup
	for _, m := range s.machines {
		for range callersPerMachine {
			callers.Go(func() { m.press(reads.prefix+"status", &hot, &ended) })
		}
	}
	for range rounds {
		time.Sleep(calmPause)
		hot.Store(true)
		until := time.Now().Add(hotTime)
		s.record.note("the account is hot")
		time.Sleep(lostAfter)
		if trouble {
			if err := s.lose(s.ranked(account)[:lostDaemons]); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(until))
		hot.Store(false)
	}
	ended.Store(true)
	callers.Wait()
	worst, most := s.worstWindow(), (s.rate*quotaWindow.Seconds()+s.burst)*(1+quotaOverrun)+quotaSlack
	s.record.note("QUOTA: %d requests ran within %s, %.0f are allowed", worst, quotaWindow, most)
	return float64(worst) > most, nil
}

// press sends requests from one caller until it is told to end.
func (m *machine) press(path string, hot, ended *atomic.Bool) {
	var calls sync.WaitGroup
	for !ended.Load() {
		calls.Go(func() { m.call(http.MethodGet, path, "") })
		for n := 0; n == 0 || (n < usualPauses && !hot.Load()); n++ {
			time.Sleep(hotPause)
		}
	}
	calls.Wait()
}

// lose kills daemons at the same moment and starts them again after lostTime.
func (s *stage) lose(list []*machine) error {
	for _, m := range list {
		m.signal(syscall.SIGKILL)
		s.record.note("%s is lost", m.name)
	}
	for _, m := range list {
		m.awaitEnd()
	}
	time.Sleep(lostTime)
	for _, m := range list {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// ranked returns the machines in the order in which they lead the account.
func (s *stage) ranked(name string) []*machine {
	byPeer := map[ids.Daemon]*machine{}
	var peers []ids.Daemon
	for _, m := range s.machines {
		byPeer[ids.Daemon(m.peers)] = m
		peers = append(peers, ids.Daemon(m.peers))
	}
	var list []*machine
	for _, p := range rendezvous.Top(name, peers, len(peers)) {
		list = append(list, byPeer[p])
	}
	return list
}

// span is when a request was sent and when it began to run.
type span struct{ sent, ran time.Time }

// worstWindow returns the most requests that were both sent and began to run in one window.
func (s *stage) worstWindow() int {
	// A request that was repeated at another target counts once.
	firstRuns := map[string]time.Time{}
	for _, m := range s.machines {
		for id, ran := range m.server.firstRuns() {
			if known, again := firstRuns[id]; !again || ran.Before(known) {
				firstRuns[id] = ran
			}
		}
	}
	var all []span
	for id, ran := range firstRuns {
		if sent, ok := s.sent.Load(id); ok {
			all = append(all, span{sent: sent.(time.Time), ran: ran})
		}
	}
	slices.SortFunc(all, func(a, b span) int { return a.sent.Compare(b.sent) })
	worst := 0
	for i, first := range all {
		n := 0
		for _, x := range all[i:] {
			if x.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if x.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst
}
