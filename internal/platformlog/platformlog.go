// Package platformlog defines what a daemon needs of the platform's append-only
// log. The client is platform/store.
//
// # Usage
//
//	at, err := log.Append(ctx, platformlog.Settings, data)
//	page, err := log.Read(ctx, platformlog.Settings, at, 100, time.Second)
//
// Offsets are contiguous and begin at 1. An append whose reply was lost may have
// taken effect: the caller looks for it in the log before it appends again.
package platformlog

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Stream names one stream of the log.
type Stream string

// Settings carries operators' edits, snapshots and rosters. One stream gives one
// offset and one total order.
const Settings Stream = "settings"

// Item is one record with its offset.
type Item struct {
	At   ids.Offset
	Data []byte
}

// Page is the result of one read.
type Page struct {
	Items []Item
	// First is the offset of the oldest record that the log still holds.
	First ids.Offset
	// Last is the offset of the newest record.
	Last ids.Offset
}

// Log is the part of the log service that a daemon uses.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may be on
	// the log, unless IsNotAppended reports that it is not.
	Append(ctx context.Context, s Stream, data []byte) (ids.Offset, error)
	// Read returns at most limit records from an offset on. If there is none yet, it
	// waits for one, at most wait.
	Read(ctx context.Context, s Stream, from ids.Offset, limit int, wait time.Duration) (Page, error)
}
