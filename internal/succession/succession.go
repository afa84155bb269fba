// Package succession finds which daemon takes over a share of an account when the
// roster changes.
//
// # Usage
//
//	s := succession.Succession{Rosters: rosters, Key: share.Key(account), LeaderCount: 2}
//	switch o := s.Resolve(giver, version).(type) {
//	case succession.Moved:
//		handOver(o.To)
//	}
//
// A process is one run of a daemon. All daemons that have read the same rosters find the
// same successor. Each process that leaves the quota leaders of an account has one
// successor, and no process succeeds two.
package succession

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/share"
)

// Succession is the history of one account's quota leaders.
type Succession struct {
	// Rosters are in the order of the log, with none missing in between.
	Rosters []roster.Roster
	// Complete is set if there was no roster before the first.
	Complete bool
	// Key and LeaderCount select the quota leaders, as for share.Place.
	Key         string
	LeaderCount int
}

// Outcome tells which process has the share that another one had. The interface is sealed.
type Outcome interface{ isFate() }

// Unmoved means that the process has the share under every newer roster that was read.
type Unmoved struct{}

// Moved means that the share moved to another process with the roster of offset At, and
// stays there under all newer rosters.
type Moved struct {
	To roster.Process
	At ids.Offset
}

// Lost means that the share can't be traced: a roster is missing, the number of quota
// leaders changed, or the successor has lost the share again.
type Lost struct{}

func (Unmoved) isFate() {}
func (Moved) isFate()   {}
func (Lost) isFate()    {}

// Resolve traces the share that a process had under the roster of a version.
func (s Succession) Resolve(giver roster.Process, version ids.Offset) Outcome {
	at := slices.IndexFunc(s.Rosters, func(r roster.Roster) bool { return r.Version == version })
	if at < 0 && (len(s.Rosters) == 0 || version > s.Rosters[len(s.Rosters)-1].Version) {
		// This daemon has not read that roster yet.
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

// resolveMove finds the successor under the roster at an index, the first one under
// which the giver has lost its share.
func (s Succession) resolveMove(giver roster.Process, before []roster.Process, index int) Outcome {
	after := s.leaders(s.Rosters[index])
	to, ok := Successor(giver, before, after)
	if !ok || !s.leadsThroughout(to, index, len(after)) {
		return Lost{}
	}
	return Moved{To: to, At: s.Rosters[index].Version}
}

// leadsThroughout reports whether a process is one of exactly count quota leaders under all
// rosters from an index on.
func (s Succession) leadsThroughout(process roster.Process, index, count int) bool {
	for _, r := range s.Rosters[index:] {
		all := s.leaders(r)
		if len(all) != count || !slices.Contains(all, process) {
			return false
		}
	}
	return true
}

// IsFirst reports whether no other process can have had this process's share of an account
// that was created at an offset. That is so if the process is a quota leader under the
// newest roster before that offset and under all newer ones: a daemon that has read the
// edit that created the account has read that roster too.
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

// Standby returns the process that keeps the share of an ended one until a roster names
// the successor: the one that would succeed it if the leaving daemons were not in the
// roster.
func (s Succession) Standby(giver roster.Process, leaving ...ids.Daemon) (roster.Process, bool) {
	if len(s.Rosters) == 0 {
		return roster.Process{}, false
	}
	newest := s.Rosters[len(s.Rosters)-1]
	return Successor(giver, s.leaders(newest), s.leaders(newest.Without(leaving...)))
}

// leaders returns the quota leaders' processes under a roster.
func (s Succession) leaders(r roster.Roster) []roster.Process {
	var processes []roster.Process
	for _, d := range share.Place(s.Key, r, s.LeaderCount) {
		e, _ := r.Find(d)
		processes = append(processes, roster.Process{Daemon: d, Incarnation: e.Incarnation})
	}
	return processes
}

// Successor returns the successor of giver. It pairs the processes that left with those
// that joined, both in order, and returns false if their numbers differ or giver has not
// left.
func Successor(giver roster.Process, before, after []roster.Process) (roster.Process, bool) {
	left, joined := without(before, after), without(after, before)
	i := slices.Index(left, giver)
	if i < 0 || len(left) != len(joined) {
		return roster.Process{}, false
	}
	return joined[i], true
}

// without returns the processes of a that are not in b, in order.
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
