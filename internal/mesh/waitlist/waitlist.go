// Package waitlist decides in which order the requests that found no room in a service are offered
// again, and when.
//
// # Usage
//
//	var l waitlist.List
//	e := &waitlist.Entry{Account: "school", Rank: 2, Since: now, Latest: now.Add(4 * time.Second)}
//	if l.Add(e, now) { ... }       // false: it would not be its turn in time
//	for _, e := range l.Next(now) { ... } // those whose turn it is
//	l.End(e, waitlist.Granted, now) // and what became of each
//
// While a service is short of room, every request that is offered to all of its gatekeepers in vain
// costs them and delays the others. So only a few are offered at the same time, a number that grows with
// each that finds room and shrinks with each that doesn't. Those that wait go by rank, and within a rank
// by account in turn, so that an account that presses waits behind itself. A part of the turns goes to
// who has waited longest, whatever its rank.
package waitlist

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Result is what became of a request whose turn it was.
type Result string

// The results.
const (
	// Granted: a gatekeeper had room, or a place in its queue.
	Granted Result = "granted"
	// Declined: none had.
	Declined Result = "declined"
	// Left: the request was not offered, or ended for another reason.
	Left Result = "left"
)

const (
	// minWindow and maxWindow bound how many requests of a service are offered at the same time by one
	// daemon.
	minWindow = 3
	maxWindow = 32
	// minPause and maxPause bound the pause after a request was declined everywhere. It is the time
	// between two grants, in which a slot should have become free, and doubles until one was found.
	minPause = 4 * time.Millisecond
	maxPause = 160 * time.Millisecond
	// floorEvery is how many turns it takes until one goes to who has waited longest: a tenth of a
	// service that is short is left to lower ranks.
	floorEvery = 10
	// rateTime is the time over which the rate of grants is averaged.
	rateTime = 2 * time.Second
	// minRate is the least rate of grants a second that is assumed.
	minRate = 0.2
	// maxWaiting bounds the memory for requests that wait.
	maxWaiting = 4096
)

// Entry is a request that waits for a turn.
type Entry struct {
	Account ids.Account
	Rank    ids.Rank
	// Since is when the request began to wait, and Latest until when waiting is of use.
	Since, Latest units.Instant

	// order is the virtual time of the account when the request was added.
	order float64
}

// List holds the waiting requests of one service. The zero value is empty. The caller holds a lock
// around every call.
type List struct {
	waiting []*Entry
	// window is how many requests may be offered at the same time, and offered how many are.
	window  float64
	offered int
	// pausedUntil and pause keep requests back after one was declined everywhere.
	pausedUntil units.Instant
	pause       time.Duration
	turns       int
	// served is the virtual time of each account that has requests here: how many it had.
	served map[ids.Account]float64
	// clock is the virtual time of the request that had the last turn.
	clock float64
	// grants is the recent number of grants a second, as of grantedAt.
	grants    float64
	grantedAt units.Instant
	since     units.Instant
}

// Len returns how many requests wait.
func (l *List) Len() int { return len(l.waiting) }

// Short reports whether requests wait, so that a newcomer has to wait too.
func (l *List) Short() bool { return len(l.waiting) > 0 }

// Wait returns for how long a request that is added now would wait, as far as the recent grants tell.
// It is zero while nothing is known.
func (l *List) Wait(a ids.Account, rank ids.Rank, now units.Instant) time.Duration {
	rate := l.rate(now)
	if rate <= 0 {
		return 0
	}
	newcomer := &Entry{Rank: rank, Since: now, order: l.nextOrder(a)}
	ahead := 0
	for _, e := range l.waiting {
		if before(e, newcomer) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// nextOrder returns the virtual time of the account's next request.
func (l *List) nextOrder(a ids.Account) float64 { return max(l.served[a], l.clock) + 1 }

// rate returns the recent grants a second, or zero if the list is too young to tell.
func (l *List) rate(now units.Instant) float64 {
	if now.Sub(l.since) < rateTime/2 {
		return 0
	}
	return max(l.decayed(now), minRate)
}

func (l *List) decayed(now units.Instant) float64 {
	passed := now.Sub(l.grantedAt)
	return l.grants * math.Exp(-float64(passed)/float64(rateTime))
}

// Add adds a request. It returns false if its turn would come too late, or too many wait.
func (l *List) Add(e *Entry, now units.Instant) bool {
	if len(l.waiting) == 0 && l.offered == 0 {
		l.begin(now)
	}
	if len(l.waiting) >= maxWaiting || now.Add(l.Wait(e.Account, e.Rank, now)) > e.Latest {
		return false
	}
	l.insert(e)
	return true
}

// begin starts to count anew, since the service was not short before.
func (l *List) begin(now units.Instant) {
	*l = List{window: minWindow, since: now, grantedAt: now, served: map[ids.Account]float64{}}
}

func (l *List) insert(e *Entry) {
	e.order = l.nextOrder(e.Account)
	l.served[e.Account] = e.order
	l.waiting = append(l.waiting, e)
}

// Next removes and returns the requests whose turn it is. The caller must call End for each.
func (l *List) Next(now units.Instant) []*Entry {
	var turns []*Entry
	for len(l.waiting) > 0 && float64(l.offered) < max(l.window, minWindow) && !now.Before(l.pausedUntil) {
		i := l.first()
		e := l.waiting[i]
		l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
		l.clock = max(l.clock, e.order)
		l.turns++
		l.offered++
		turns = append(turns, e)
	}
	return turns
}

// first returns the index of the request whose turn it is.
func (l *List) first() int {
	best := 0
	oldest := l.turns%floorEvery == floorEvery-1
	for i, e := range l.waiting {
		if b := l.waiting[best]; oldest && e.Since < b.Since || !oldest && before(e, b) {
			best = i
		}
	}
	return best
}

func before(a, b *Entry) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.order != b.order {
		return a.order < b.order
	}
	return a.Since < b.Since
}

// Again lets a request wait for another turn, with the seniority that it had. It returns false if
// waiting is of no use any more.
func (l *List) Again(e *Entry, now units.Instant) bool {
	if e.Latest <= now {
		return false
	}
	l.waiting = append(l.waiting, e)
	return true
}

// Remove removes a request that waits, and reports whether it did.
func (l *List) Remove(e *Entry) bool {
	for i, w := range l.waiting {
		if w == e {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// End records what became of a request whose turn it was.
func (l *List) End(_ *Entry, r Result, now units.Instant) {
	l.offered = max(l.offered-1, 0)
	switch r {
	case Granted:
		l.grants = l.decayed(now) + 1/rateTime.Seconds()
		l.grantedAt = now
		l.window = min(l.window+1/max(l.window, 1), maxWindow)
		l.pause, l.pausedUntil = 0, 0
	case Declined:
		l.window = max(l.window/2, minWindow)
		l.pause = min(max(2*l.pause, l.grantGap(now)), maxPause)
		l.pausedUntil = now.Add(l.pause)
	case Left:
	}
}

// grantGap returns the recent time between two grants, within the bounds of a pause.
func (l *List) grantGap(now units.Instant) time.Duration {
	rate := l.decayed(now)
	if rate*maxPause.Seconds() <= 1 {
		return maxPause / 4
	}
	return max(time.Duration(float64(time.Second)/rate), minPause)
}

// PauseLeft returns how long it takes until the next turn, or zero if nothing keeps it back but the
// requests that are offered now.
func (l *List) PauseLeft(now units.Instant) time.Duration {
	if len(l.waiting) == 0 {
		return 0
	}
	return max(l.pausedUntil.Sub(now), 0)
}
