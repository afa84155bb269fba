package tail

import (
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// readersPerCentre is how many daemons of each data centre read the log.
	readersPerCentre = 2
	// readersTTL is how long the list of readers is cached, since making it goes
	// through all members.
	readersTTL = time.Second
)

// readers caches which daemons of this data centre read the log.
type readers struct {
	list     []ids.Daemon
	chosenAt units.Instant
	valid    bool
}

// readersAt returns the daemons of this data centre that read the log, in the order
// in which this daemon queries them. Each reader is first for about half of the
// daemons.
func (t *Tail) readersAt(now units.Instant) []ids.Daemon {
	if t.readers.valid && now.Sub(t.readers.chosenAt) < readersTTL {
		return t.readers.list
	}
	own := t.Common.Settings.Identity
	var near []ids.Daemon
	for _, m := range t.directory.Reachable() {
		if m.Centre == own.Centre && m.Incarnation != 0 && !m.Leaving && !m.Gone {
			near = append(near, m.Daemon)
		}
	}
	list := rendezvous.Top("readers of "+string(own.Centre), near, readersPerCentre)
	first := rendezvous.Top(string(own.Daemon), list, 1)
	slices.SortStableFunc(list, func(a, b ids.Daemon) int {
		return rank(first, a) - rank(first, b)
	})
	t.sources.self = own.Daemon
	t.readers = readers{list: list, chosenAt: now, valid: true}
	return list
}

// rank returns 0 for a listed daemon and 1 for others.
func rank(first []ids.Daemon, id ids.Daemon) int {
	if slices.Contains(first, id) {
		return 0
	}
	return 1
}
