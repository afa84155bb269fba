package record

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// PartSections is how many sections one part of a snapshot holds at most.
const PartSections = 1000

// Snapshot holds all sections as of an offset, or one part of them. The parts of
// one snapshot share As, Maker and Made.
type Snapshot struct {
	As    ids.Offset
	Maker ids.Daemon
	// Logged is the As of the newest snapshot on the log, and Made the time of day
	// at its maker. They only decide when the next snapshot is due.
	Logged ids.Offset
	Made   time.Time
	// Part counts from 0 to Parts-1.
	Part  int
	Parts int
	// Digest is the digest of the whole state as of As.
	Digest   uint64
	Sections []Section
	// Recent lists the edits applied lately, oldest first, so that a repeat is
	// still known. The first part holds all of them.
	Recent []RecentEdit
	// Rosters are the newest rosters, oldest first, and none is missing from
	// Since on. The first part holds them.
	Rosters []roster.Roster
	Since   ids.Offset
	// Settled is an offset that its maker knew to be in force.
	Settled ids.Offset
}

// Section is one section within a Snapshot.
type Section struct {
	Path    ids.Path
	Version ids.Offset
	// Created and Split are those of replay.Entry.
	Created ids.Offset
	Split   ids.Offset
	Values  map[string]string
}
