package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Question asks a daemon how far it has read and what it knows to be recent.
type Question struct{}

// Confirmation answers a Question.
type Confirmation struct {
	// Incarnation is the answering process; a witness seat belongs to one.
	Incarnation ids.Incarnation
	// Seen is the offset of the last record that the process has read.
	Seen ids.Offset
	// Retired is set by a process that leaves and answers no longer as a witness.
	Retired bool
	// Confirmed is set when the process is confirmed; At and Age are then those of
	// its evidence, as of the answer.
	Confirmed bool
	At        ids.Offset    `cbor:"At"`
	Age       time.Duration `cbor:"Age"`
	// Force is an offset that is known to be in force.
	Force ids.Offset `cbor:"Force"`
}

func (Question) isMessage()     {}
func (Confirmation) isMessage() {}
