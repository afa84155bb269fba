package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
)

// Pull asks a daemon for the records of the settings stream from an offset on.
// The answer waits for a record for at most Wait.
type Pull struct {
	From ids.Offset
	Wait time.Duration
}

// Records answers a Pull.
type Records struct {
	Items []Item
	// First is the offset of the oldest record that the sender still holds, and
	// Last that of the newest one that it has applied.
	First ids.Offset
	Last  ids.Offset
	// CaughtUp says that the sender has evidence that it held every record of the
	// log. Age counts from when the question behind that evidence was sent to when
	// the Pull arrived; it is negative for a question that was sent later.
	CaughtUp bool `cbor:"Known"`
	Age      time.Duration
}

// Item is one record as it stands on the log.
type Item struct {
	At   ids.Offset
	Data []byte
}

// Fetch asks for one part of the sender's whole state. As zero asks for the
// newest state; the parts after the first one name the offset of the first.
type Fetch struct {
	As   ids.Offset
	Part int
}

// SnapshotPart answers a Fetch.
type SnapshotPart struct{ Snapshot record.Snapshot }

func (Pull) isMessage()         {}
func (Records) isMessage()      {}
func (Fetch) isMessage()        {}
func (SnapshotPart) isMessage() {}
