package record

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// Roster changes the list of daemons that take part in shared decisions. It has no
// effect unless Base is the offset of the newest roster.
type Roster struct {
	Base ids.Offset
	// Put holds new and changed entries.
	Put []roster.Entry
	// Remove names the daemons that leave the roster.
	Remove []ids.Daemon
}

func (Roster) isRecord() {}
