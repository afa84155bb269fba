// Package progress says how far a daemon has read a topic of the platform's store.
//
// # Usage
//
//	p := progress.Progress{Next: follower.Next(), Reads: true}
//	if p.Next > own { ... } // the other daemon is ahead
package progress

import "balsamwharf.example/balsamwharf/internal/ids"

// Progress is what a daemon says of one topic in its load reports.
type Progress struct {
	// Next is the offset after the last record that the daemon has applied.
	Next ids.Offset `cbor:"1,keyasint,omitempty"`
	// Reads is set while the daemon reads the store and gets answers.
	Reads bool `cbor:"2,keyasint,omitempty"`
}
