// Package record holds the records of the platform's log as plain values.
//
// # Usage
//
//	switch r := rec.(type) {
//	case record.Edit:
//	case record.Snapshot:
//	}
//
// The state of every daemon is a pure function of the records up to its offset.
package record

import (
	"balsamwharf.example/balsamwharf/internal/ids"
)

// Record is one record of the settings stream. The interface is sealed.
type Record interface{ isRecord() }

// Edit changes or removes one section of the shared settings.
type Edit struct {
	ID   ids.Edit
	Path ids.Path
	// Base is the version of the section that the operator saw; zero when there was no
	// section.
	Base ids.Offset
	// Credential is the hash of the credential that the operator presented.
	Credential ids.Hash
	// Values holds the section's values by name, as text; it is ignored on removal.
	Values map[string]string
	Remove bool
}

// Result is the outcome of an edit as it is stored in a snapshot.
type Result string

// The results of an edit.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Denied   Result = "denied"
	Invalid  Result = "invalid"
)

// RecentEdit is an edit that was applied recently, with its outcome.
type RecentEdit struct {
	ID     ids.Edit
	Result Result
	// At is the version that an accepted edit created, or the version with which an
	// edit conflicted.
	At     ids.Offset
	Reason string
	// Removed is the path whose section the edit removed.
	Removed ids.Path
}

// Unreadable takes the place of a record that this daemon can't decode. It is never
// on the log.
type Unreadable struct{}

func (Edit) isRecord()       {}
func (Snapshot) isRecord()   {}
func (Unreadable) isRecord() {}
