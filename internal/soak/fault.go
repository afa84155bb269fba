package soak

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/standin"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Fault is one event of a schedule: a fault of the surroundings, which ends by
// itself, or an operator's edit. The interface is sealed. Nodes are numbers of
// daemons.
type Fault interface{ isFault() }

// CutWay loses every message in one direction between two daemons.
type CutWay struct{ From, To int }

// Mute loses every message that one daemon sends, or every one to it.
type Mute struct {
	Node  int
	Sends bool
}

// SplitCentre cuts a data centre off from the others, in both directions.
type SplitCentre struct{ Centre int }

// SlowNet makes every message between daemons slow.
type SlowNet struct{ Delay time.Duration }

// Pause stops a daemon's process; its clock goes on.
type Pause struct{ Node int }

// Kill ends a daemon without a word; a new incarnation starts at the end.
type Kill struct{ Node int }

// Restart stops a daemon gracefully; a new incarnation starts at the end.
type Restart struct{ Node int }

// LogAway takes the log service away from all.
type LogAway struct{}

// LogSlow delays every append.
type LogSlow struct{ Delay time.Duration }

// LogCut takes the log service away from one daemon.
type LogCut struct{ Node int }

// LostReplies makes appends take effect and fail.
type LostReplies struct{ Count int }

// DroppedAppends makes appends fail without effect, as if the reply was lost.
type DroppedAppends struct{ Count int }

// Expire drops the records older than the retention.
type Expire struct{}

// BadTarget makes a backend server misbehave.
type BadTarget struct {
	Node int
	How  standin.Fault
}

// Drain makes a backend server leave and come back.
type Drain struct{ Node int }

// Grant publishes a new key.
type Grant struct{}

// Withdraw withdraws a random key.
type Withdraw struct{ Pick int }

// Race publishes edits of one section from several daemons at once.
type Race struct {
	Racers int
	Pick   int
}

// Rate changes the limits of the varied client account.
type Rate struct{ To settings.Account }

func (CutWay) isFault()         {}
func (Mute) isFault()           {}
func (SplitCentre) isFault()    {}
func (SlowNet) isFault()        {}
func (Pause) isFault()          {}
func (Kill) isFault()           {}
func (Restart) isFault()        {}
func (LogAway) isFault()        {}
func (LogSlow) isFault()        {}
func (LogCut) isFault()         {}
func (LostReplies) isFault()    {}
func (DroppedAppends) isFault() {}
func (Expire) isFault()         {}
func (BadTarget) isFault()      {}
func (Drain) isFault()          {}
func (Grant) isFault()          {}
func (Withdraw) isFault()       {}
func (Race) isFault()           {}
func (Rate) isFault()           {}

// limitsOf returns the limits between which the varied account changes.
func limitsOf(high bool) settings.Account {
	if high {
		return settings.Account{Rate: units.Rate(15), Burst: 12, Weight: 1}
	}
	return settings.Account{Rate: units.Rate(4), Burst: 4, Weight: 1}
}
