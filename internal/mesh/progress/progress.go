// Package progress says how far a daemon has read a topic of the platform's store.
//
// # Usage
//
//	p := progress.Of(follower.Position(), true)
//	if own.Before(p.Position()) { ... } // the other daemon is ahead
package progress

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
)

// Progress is what a daemon says of one topic in its load reports.
type Progress struct {
	// Next is the offset after the last record that the daemon has applied.
	Next ids.Offset `cbor:"1,keyasint,omitempty"`
	// Reads is set while the daemon reads the store and gets answers.
	Reads bool `cbor:"2,keyasint,omitempty"`
	// Era is that of the store in which Next counts.
	Era ids.Era `cbor:"3,keyasint,omitempty"`
}

// Of returns the progress of a daemon at a position.
func Of(p keyed.Position, reads bool) Progress {
	return Progress{Next: p.Next, Era: p.Era, Reads: reads}
}

// Position returns the position after the last applied record.
func (p Progress) Position() keyed.Position { return keyed.Position{Era: p.Era, Next: p.Next} }
