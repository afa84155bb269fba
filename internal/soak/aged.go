package soak

import (
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/logstub"
	"balsamwharf.example/balsamwharf/internal/platformlog"
)

const agingPeriod = time.Second

// aged remembers how many records the log had at each second in which it took
// appends, so that only records older than the retention are dropped.
type aged struct {
	mu     sync.Mutex
	counts []int
}

func (a *aged) follow(log *logstub.Stub, over <-chan struct{}) {
	ticker := time.NewTicker(agingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.note(log)
		case <-over:
			return
		}
	}
}

// note passes over the seconds in which the log is away: nobody could have written
// a snapshot then.
func (a *aged) note(log *logstub.Stub) {
	if log.Away() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts = append(a.counts, log.Appends())
}

// expire drops the records older than the retention.
func (a *aged) expire(log *logstub.Stub) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := len(a.counts) - int(retention/agingPeriod)
	if old <= 0 {
		return
	}
	log.Expire(platformlog.Settings, log.Appends()-a.counts[old])
}
