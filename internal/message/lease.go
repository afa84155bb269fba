package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// LeaseQuery asks a daemon how far it has read and what it knows to be recent.
type LeaseQuery struct{}

// LeaseStatus answers a Question.
type LeaseStatus struct {
	// Incarnation is the answering process; a witness seat belongs to one.
	Incarnation ids.Incarnation
	// Seen is the offset of the last record that the process has read.
	Seen ids.Offset
	// Retired is set by a process that leaves and answers no longer as a witness.
	Retired bool
	// Confirmed is set when the process is confirmed; At and Age are then those of
	// its evidence, as of the answer.
	Confirmed   bool
	LeaseOffset ids.Offset    `cbor:"At"`
	LeaseAge    time.Duration `cbor:"Age"`
	// InForce is an offset that is known to be in force.
	InForce ids.Offset `cbor:"Force"`
}

func (LeaseQuery) isMessage()  {}
func (LeaseStatus) isMessage() {}
