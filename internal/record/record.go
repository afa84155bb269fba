// Package record holds the records of the platform's log as plain values.
//
// # Usage
//
//	switch r := rec.(type) {
//	case record.Edit:
//	case record.Snapshot:
//	}
//
// The interface is sealed. The state of every daemon is a pure function of the
// records up to its offset.
package record

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// Record is one record of the settings stream.
type Record interface{ isRecord() }

// Edit changes or removes one section of the shared settings.
type Edit struct {
	ID   ids.Edit
	Path ids.Path
	// Base is the offset of the section's last change that the operator saw; zero
	// when there was no section.
	Base ids.Offset
	// Credential is the hash of the credential that the operator presented.
	Credential ids.Hash
	// Values holds the names of the section as text; it is ignored on removal.
	Values map[string]string
	Remove bool
}

// Snapshot holds all sections as of an offset.
type Snapshot struct {
	As       ids.Offset
	Sections []Section
	// Recent lists the edits applied lately, so that a repeat is still known.
	Recent []ids.Edit
	// Roster is in force: a snapshot is taken only while the newest roster is.
	Roster roster.Roster
}

// Section is one section within a Snapshot.
type Section struct {
	Path    ids.Path
	Version ids.Offset
	Values  map[string]string
}

func (Edit) isRecord()     {}
func (Snapshot) isRecord() {}
