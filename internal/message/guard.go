package message

import (
	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
)

// GuardBegin asks the guard of a key whether an attempt may run.
type GuardBegin struct {
	Key     idempotency.Key
	Digest  ids.Hash
	Attempt idempotency.Attempt
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
	Answer idempotency.Answer
	Reason string
}

// GuardLookup asks a daemon that may have a note of the key. From then on the
// receiver takes part in no grant under a roster older than Version.
type GuardLookup struct {
	Key     idempotency.Key
	Version ids.Offset
}

// GuardLookupReply answers a GuardLook.
type GuardLookupReply struct {
	Incarnation ids.Incarnation
	Found       bool
	Note        idempotency.Record
	// Complete is set when the receiver would have a note of any use of the key.
	Complete bool
}

// GuardCopy hands a note to the second daemon of a key.
type GuardCopy struct {
	Key     idempotency.Key
	Note    idempotency.Record
	Version ids.Offset
}

// GuardCopied answers a GuardCopy. Found is set when the receiver had a note of
// an earlier guard instead.
type GuardCopied struct {
	Kept  bool
	Found bool
	Note  idempotency.Record
}

// GuardEnd tells how an attempt ended; without an answer it did not run.
type GuardEnd struct {
	Key     idempotency.Key
	Attempt idempotency.Attempt
	Answer  *idempotency.Answer
	// Forwarded is set by the guard when it hands the message on to the copy.
	Forwarded bool `cbor:"Passed"`
}

// GuardEnded answers a GuardEnd.
type GuardEnded struct{}

func (GuardBegin) isMessage()       {}
func (GuardBegan) isMessage()       {}
func (GuardLookup) isMessage()      {}
func (GuardLookupReply) isMessage() {}
func (GuardCopy) isMessage()        {}
func (GuardCopied) isMessage()      {}
func (GuardEnd) isMessage()         {}
func (GuardEnded) isMessage()       {}
