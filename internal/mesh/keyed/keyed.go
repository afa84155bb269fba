// Package keyed defines the topics of the platform's store that the fleet uses. The store
// retains the newest record of each key.
//
// # Usage
//
//	page, err := store.Newest(ctx, keyed.Settings)
//	next, err := store.Read(ctx, keyed.Settings, page.End, 30*time.Second)
package keyed

import (
	"context"
	"errors"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Topic names a topic of the store.
type Topic string

// The topics.
const (
	// Settings holds the operators' configuration; daemons only read it.
	Settings Topic = "settings"
	// Fleet holds the registration of each daemon.
	Fleet Topic = "fleet"
)

// Record is the value of one key. An empty value deletes the key.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

// Position is a place in a topic: the offset after a record, in the era in which it was read.
type Position struct {
	Era  ids.Era    `cbor:"1,keyasint,omitempty"`
	Next ids.Offset `cbor:"2,keyasint,omitempty"`
}

// Before reports whether the position comes before another one. What comes first in a later era may
// be older than what came last in the one before.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Next < other.Next
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// End is the offset after the last record of the topic.
	End ids.Offset
	// Era is that of the store when it answered, or zero if the store doesn't count its eras.
	Era ids.Era
}

// Position returns the position after the page.
func (p Page) Position() Position { return Position{Era: p.Era, Next: p.End} }

// ErrExpired is returned when the store does not have the requested offset: the records have expired,
// or the store came back from an older copy that ends before it. The newest record of each key is
// available.
var ErrExpired = errors.New("the store no longer has the records after this offset")

// Store is the platform's store. Every call returns when its context ends.
type Store interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context, t Topic) (Page, error)
	// Read returns the records from an offset on. If there are none, it blocks for at most wait
	// until one is appended.
	Read(ctx context.Context, t Topic, from ids.Offset, wait time.Duration) (Page, error)
	// Put appends a record. After an error the record may be in the store, or may still get there
	// later.
	Put(ctx context.Context, t Topic, r Record) error
}
