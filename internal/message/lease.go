package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// LeaseQuery asks a daemon how far it has read the log and what read lease it has.
type LeaseQuery struct{}

// LeaseStatus answers a LeaseQuery.
type LeaseStatus struct {
	// Incarnation is that of the answering process; a witness is one incarnation of a
	// daemon.
	Incarnation ids.Incarnation
	// Seen is the offset of the last record that the process has read.
	Seen ids.Offset
	// Retired is set by a process that is leaving; it no longer answers as a witness.
	Retired bool
	// Confirmed is set if the process is confirmed. LeaseOffset and LeaseAge are then
	// the offset and the age of its read lease when it answered.
	Confirmed   bool
	LeaseOffset ids.Offset    `cbor:"At"`
	LeaseAge    time.Duration `cbor:"Age"`
	// InForce is an offset that is known to be in force.
	InForce ids.Offset `cbor:"Force"`
}

func (LeaseQuery) isMessage()  {}
func (LeaseStatus) isMessage() {}
