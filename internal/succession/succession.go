// Package succession finds who takes over a share of an account when the roster
// changes.
//
// # Usage
//
//	line := succession.Succession{Rosters: kept, Thing: share.Thing(account), Count: 2}
//	switch f := line.Fate(giver, version).(type) {
//	case succession.Passed:
//		hand(f.To)
//	}
//
// Every daemon that has read the same rosters finds the same successor. Each run
// that leaves an account's holders has one successor, and no run succeeds two.
package succession

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/share"
)

// Succession is the history of one account's holders.
type Succession struct {
	// Rosters are in the order of the log, and none is missing between them.
	Rosters []roster.Roster
	// Complete says that there was no roster before the first.
	Complete bool
	// Key and Count choose the holders, as for share.Spread.
	Key         string
	LeaderCount int
}

// Outcome is what became of the share that a run held. The interface is sealed.
type Outcome interface{ isFate() }

// Unmoved means that every newer roster that was read leaves the share to the run.
type Unmoved struct{}

// Moved means that the roster at At gave the share to another run, and that all
// newer ones leave it there.
type Moved struct {
	To roster.Process
	At ids.Offset
}

// Lost means that the share can't be followed: a roster is not known, the number
// of holders changed, or the successor has lost the share again.
type Lost struct{}

func (Unmoved) isFate() {}
func (Moved) isFate()   {}
func (Lost) isFate()    {}

// Resolve follows the share that a run held under the roster of a version.
func (s Succession) Resolve(giver roster.Process, version ids.Offset) Outcome {
	at := slices.IndexFunc(s.Rosters, func(r roster.Roster) bool { return r.Version == version })
	if at < 0 && (len(s.Rosters) == 0 || version > s.Rosters[len(s.Rosters)-1].Version) {
		// It has not been read yet.
		return Unmoved{}
	}
	if at < 0 {
		return Lost{}
	}
	before := s.leaders(s.Rosters[at])
	if !slices.Contains(before, giver) {
		return Lost{}
	}
	for i := at + 1; i < len(s.Rosters); i++ {
		after := s.leaders(s.Rosters[i])
		if len(after) != len(before) {
			return Lost{}
		}
		if !slices.Contains(after, giver) {
			return s.resolveMove(giver, before, i)
		}
		before = after
	}
	return Unmoved{}
}

// resolveMove finds the successor under the roster at a place.
func (s Succession) resolveMove(giver roster.Process, before []roster.Process, index int) Outcome {
	after := s.leaders(s.Rosters[index])
	to, ok := Successor(giver, before, after)
	if !ok || !s.leadsThroughout(to, index, len(after)) {
		return Lost{}
	}
	return Moved{To: to, At: s.Rosters[index].Version}
}

// leadsThroughout reports whether a run has the share under all rosters from a place on.
func (s Succession) leadsThroughout(process roster.Process, index, count int) bool {
	for _, r := range s.Rosters[index:] {
		all := s.leaders(r)
		if len(all) != count || !slices.Contains(all, process) {
			return false
		}
	}
	return true
}

// IsFirst reports whether the run is the only one that can have held its share of
// an account that was made at an offset: whoever has read that edit has read the
// newest roster before it, and that one and all newer ones name the run.
func (s Succession) IsFirst(process roster.Process, created ids.Offset, count int) bool {
	index := -1
	for i, r := range s.Rosters {
		if r.Version < created {
			index = i
		}
	}
	if index < 0 && s.Complete {
		index = 0
	}
	return created > 0 && index >= 0 && s.leadsThroughout(process, index, count)
}

// Standby returns who keeps the share of a run until a roster names its successor:
// the one that would succeed it if some daemons left.
func (s Succession) Standby(giver roster.Process, gone ...ids.Daemon) (roster.Process, bool) {
	if len(s.Rosters) == 0 {
		return roster.Process{}, false
	}
	newest := s.Rosters[len(s.Rosters)-1]
	return Successor(giver, s.leaders(newest), s.leaders(newest.Without(gone...)))
}

// leaders returns the runs that hold shares under a roster.
func (s Succession) leaders(r roster.Roster) []roster.Process {
	var processes []roster.Process
	for _, d := range share.Place(s.Key, r, s.LeaderCount) {
		e, _ := r.Find(d)
		processes = append(processes, roster.Process{Daemon: d, Incarnation: e.Incarnation})
	}
	return processes
}

// Successor pairs those that left with those that came, both in order.
func Successor(giver roster.Process, before, after []roster.Process) (roster.Process, bool) {
	left, joined := without(before, after), without(after, before)
	i := slices.Index(left, giver)
	if i < 0 || len(left) != len(joined) {
		return roster.Process{}, false
	}
	return joined[i], true
}

// without returns the runs of a that are not in b, in order.
func without(a, b []roster.Process) []roster.Process {
	var rest []roster.Process
	for _, r := range a {
		if !slices.Contains(b, r) {
			rest = append(rest, r)
		}
	}
	slices.SortFunc(rest, roster.Process.Compare)
	return rest
}
