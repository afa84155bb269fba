package record

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
)

// PartSections is the maximum number of sections in one part of a snapshot.
const PartSections = 1000

// Snapshot is one part of all sections as of the offset As. The parts of one
// snapshot have the same As, Maker and Made.
type Snapshot struct {
	As    ids.Offset
	Maker ids.Daemon
	// Logged is the As of the newest snapshot on the log, and Made is the wall clock
	// time of the daemon that wrote it. They are only used to decide when the next
	// snapshot is due.
	Logged ids.Offset
	Made   time.Time
	// Part counts from 0 to Parts-1.
	Part  int
	Parts int
	// Digest is the digest of the whole state as of As.
	Digest   uint64
	Sections []Section
	// Recent lists the recent edits, oldest first, so that duplicates are still
	// recognised. Only the first part holds them.
	Recent []RecentEdit
	// Rosters are the newest rosters, oldest first; from the offset Since on none is
	// missing. Only the first part holds them.
	Rosters []roster.Roster
	Since   ids.Offset
	// Settled is an offset that the daemon Maker knew to be in force.
	Settled ids.Offset
}

// Section is one section within a Snapshot.
type Section struct {
	Path    ids.Path
	Version ids.Offset
	// Created and Split are Created and SplitSince of replay.Entry.
	Created ids.Offset
	Split   ids.Offset
	Values  map[string]string
}
