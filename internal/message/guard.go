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

// GuardState is the kind of an idempotency.Outcome.
type GuardState string

// The states; each stands for an outcome of package idempotency: GuardGranted for
// Granted, GuardCompleted for Completed, the others for those of the same name.
const (
	GuardGranted   GuardState = "fresh"
	GuardCompleted GuardState = "known"
	GuardRunning   GuardState = "running"
	GuardMismatch  GuardState = "mismatch"
	GuardRefused   GuardState = "refused"
)

// GuardBegan answers a GuardBegin. Answer is set if State is GuardKnown, Reason if it is
// GuardRefused.
type GuardBegan struct {
	State  GuardState
	Answer idempotency.Answer
	Reason string
}

// GuardLookup queries a daemon that may have a record of the key. From then on the
// receiver takes part in no grant under a roster older than Version.
type GuardLookup struct {
	Key     idempotency.Key
	Version ids.Offset
}

// GuardLookupReply answers a GuardLookup.
type GuardLookupReply struct {
	Incarnation ids.Incarnation
	Found       bool
	Record      idempotency.Record `cbor:"Note"`
	// Complete is set if no record was found and the answering daemon would have a
	// record of any use of the key.
	Complete bool
}

// GuardCopy sends a record to the second daemon of a key, which stores a copy.
type GuardCopy struct {
	Key     idempotency.Key
	Record  idempotency.Record `cbor:"Note"`
	Version ids.Offset
}

// GuardCopied answers a GuardCopy. Kept is set if the copy was stored. Found is set if
// the answering daemon had a record of an earlier guard instead; Record is that record.
type GuardCopied struct {
	Kept   bool
	Found  bool
	Record idempotency.Record `cbor:"Note"`
}

// GuardEnd reports how an attempt ended. Answer is nil if it did not run.
type GuardEnd struct {
	Key     idempotency.Key
	Attempt idempotency.Attempt
	Answer  *idempotency.Answer
	// Forwarded is set by the guard when it forwards the message to the second daemon.
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
