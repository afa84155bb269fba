package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
)

// Pull requests the records of the settings stream from an offset on. If there are
// none, the receiver waits for one for at most Wait before it answers.
type Pull struct {
	From ids.Offset
	Wait time.Duration
}

// Records answers a Pull.
type Records struct {
	Items []Item
	// First is the offset of the oldest record that the answering daemon still has, and
	// Last that of the newest one that it has applied.
	First ids.Offset
	Last  ids.Offset
	// CaughtUp is set if a query has shown that the answering daemon had every record
	// of the log. Age is the time from when that query was sent to when the Pull
	// arrived; it is negative if the query was sent later.
	CaughtUp bool `cbor:"Known"`
	Age      time.Duration
}

// Item is one record as it is encoded on the log.
type Item struct {
	At   ids.Offset
	Data []byte
}

// Fetch requests one part of a snapshot of the receiver's whole state. If As is zero,
// the snapshot is of the newest state; a Fetch of a later part has the offset that came
// with the first part.
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
