package message

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mark"
)

// GuardBegin asks the guard of a key whether an attempt may run.
type GuardBegin struct {
	Key     mark.Key
	Digest  ids.Hash
	Attempt mark.Attempt
}

// GuardState is an outcome of package mark on the wire.
type GuardState string

// The states.
const (
	GuardFresh    GuardState = "fresh"
	GuardKnown    GuardState = "known"
	GuardRunning  GuardState = "running"
	GuardMismatch GuardState = "mismatch"
	GuardRefused  GuardState = "refused"
)

// GuardBegan answers a GuardBegin.
type GuardBegan struct {
	State  GuardState
	Answer mark.Answer
	Reason string
}

// GuardLook asks a daemon that may have a note of the key. From then on the
// receiver takes part in no grant under a roster older than Version.
type GuardLook struct {
	Key     mark.Key
	Version ids.Offset
}

// GuardLooked answers a GuardLook.
type GuardLooked struct {
	Incarnation ids.Incarnation
	Found       bool
	Note        mark.Note
	// Complete is set when the receiver would have a note of any use of the key.
	Complete bool
}

// GuardCopy hands a note to the second daemon of a key.
type GuardCopy struct {
	Key     mark.Key
	Note    mark.Note
	Version ids.Offset
}

// GuardCopied answers a GuardCopy. Found is set when the receiver had a note of
// an earlier guard instead.
type GuardCopied struct {
	Kept  bool
	Found bool
	Note  mark.Note
}

// GuardEnd tells how an attempt ended; without an answer it did not run.
type GuardEnd struct {
	Key     mark.Key
	Attempt mark.Attempt
	Answer  *mark.Answer
	// Passed is set by the guard when it hands the message on to the copy.
	Passed bool `cbor:"Passed"`
}

// GuardEnded answers a GuardEnd.
type GuardEnded struct{}

func (GuardBegin) isMessage()  {}
func (GuardBegan) isMessage()  {}
func (GuardLook) isMessage()   {}
func (GuardLooked) isMessage() {}
func (GuardCopy) isMessage()   {}
func (GuardCopied) isMessage() {}
func (GuardEnd) isMessage()    {}
func (GuardEnded) isMessage()  {}
