// Package starts decides which announcements of a backend server count, when several starts of it
// have announced themselves at the same VM and announcements arrive late.
//
// # Usage
//
//	var o starts.Order
//	o.Restore(start)                                // what an earlier process knew
//	switch o.Observe(start, seq, leaving, now) {
//	case starts.Newest:      // apply the announcement
//	case starts.Old:         // superseded: ignore it
//	case starts.Unconfirmed: // ignore it, and don't acknowledge that the backend server leaves
//	}
//	o.End(start)                                    // it has deregistered
//
// The time of a start is taken from the clock of the VM, which may jump back between two starts.
// So an earlier time shows only that an announcement may be old. What tells is which start is
// still heard: a backend server that runs goes on announcing itself, with higher numbers, and of
// one that has ended only a few announcements can still be on their way. A start that looks old
// counts once it has been heard repeatedly, and the newest one not at all meanwhile.
package starts

import (
	"slices"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Verdict says how an announcement is to be treated.
type Verdict string

// The verdicts.
const (
	// Newest: the announcement is the newest one of the start that runs.
	Newest Verdict = "newest"
	// Old: a newer announcement or the end of the start is known.
	Old Verdict = "old"
	// Unconfirmed: the announcement is of a start that looks old and may be the one that runs.
	Unconfirmed Verdict = "unconfirmed"
)

const (
	// A start that was never heard before counts with its second announcement, unless both were
	// held up and arrive together.
	newHeard = 2
	newSpan  = 500 * time.Millisecond
	// One that was replaced has to be heard more often, since late announcements of it are
	// likelier than a start that was wrongly taken for newer.
	replacedHeard = 3
	replacedSpan  = 3 * time.Second
	// maxKnown bounds how many replaced and ended starts are remembered.
	maxKnown = 32
)

// Order orders the announcements of one backend server's starts. The zero value works. The caller
// holds a lock around every call.
type Order struct {
	current ids.Start
	// known is set once there is a current start, and heard once it has been observed.
	known, heard bool
	seq          uint64
	leaving      bool

	// replaced and ended hold starts that must not count again on their first announcement, or
	// ever.
	replaced, ended startSet
	rival           rival
}

// rival is a start that may be the one that runs although the current one looks newer.
type rival struct {
	start ids.Start
	seq   uint64
	heard int
	since units.Instant
}

// Restore records a start that an earlier process of the daemon knew.
func (o *Order) Restore(s ids.Start) {
	switch {
	case !o.known:
		o.current, o.known = s, true
	case s != o.current && !o.ended.has(s):
		o.replaced.add(s)
	}
}

// Observe records an announcement and returns how to treat it. Announcements of one start are
// numbered by seq.
func (o *Order) Observe(s ids.Start, seq uint64, leaving bool, now units.Instant) Verdict {
	switch {
	case o.ended.has(s):
		return Old
	case !o.known, s == o.current && (!o.heard || seq > o.seq), o.isNew(s, leaving):
		o.accept(s, seq, leaving)
		return Newest
	case s == o.current && o.leaving:
		return Old
	case o.confirm(s, seq, now):
		o.accept(s, seq, leaving)
		return Newest
	case s == o.current:
		return Old
	}
	return Unconfirmed
}

// isNew reports whether the start counts at once: it is heard for the first time and began later.
// An earlier one counts if it leaves under the id that the current one has, since requests for the
// current one reach it.
func (o *Order) isNew(s ids.Start, leaving bool) bool {
	if s == o.current || o.replaced.has(s) {
		return false
	}
	return s.At > o.current.At || (leaving && s.Target == o.current.Target)
}

func (o *Order) accept(s ids.Start, seq uint64, leaving bool) {
	if o.known && s != o.current {
		o.replaced.add(o.current)
		o.replaced.remove(s)
	}
	o.current, o.known, o.heard = s, true, true
	o.seq, o.leaving = seq, leaving
	o.rival = rival{}
}

// confirm counts an announcement of a start that looks old and reports whether it has been heard
// often enough since the current one was heard last.
func (o *Order) confirm(s ids.Start, seq uint64, now units.Instant) bool {
	if s != o.rival.start || o.rival.heard == 0 {
		o.rival = rival{start: s, seq: seq, heard: 1, since: now}
		return false
	}
	if seq <= o.rival.seq {
		return false
	}
	o.rival.seq = seq
	o.rival.heard++
	heard, span := newHeard, newSpan
	if s == o.current || o.replaced.has(s) {
		heard, span = replacedHeard, replacedSpan
	}
	return o.rival.heard >= heard && now.Sub(o.rival.since) >= span
}

// End records that the start has ended; none of its announcements counts from then on.
func (o *Order) End(s ids.Start) {
	o.replaced.remove(s)
	o.ended.add(s)
}

// startSet holds the starts that were added last.
type startSet struct{ list []ids.Start }

func (s *startSet) has(x ids.Start) bool { return slices.Contains(s.list, x) }

func (s *startSet) add(x ids.Start) {
	if s.has(x) {
		return
	}
	s.list = append(s.list, x)
	if len(s.list) > maxKnown {
		s.list = s.list[1:]
	}
}

func (s *startSet) remove(x ids.Start) {
	s.list = slices.DeleteFunc(s.list, func(y ids.Start) bool { return x == y })
}
