package snapshot

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
)

const (
	// maxRecords is how many records a new daemon should have to replay at most.
	maxRecords = 4096
	// ageDivisor is the part of the retention after which a snapshot is due, so that
	// several attempts fit in before records expire.
	ageDivisor = 4
	// minIntervalDivisor is the part of the retention that lies between two snapshots at
	// least, however many records come.
	minIntervalDivisor = 48
)

// due reports whether the state should be written to the log again. A snapshot
// expires like any record, so age alone makes one due.
func due(at ids.Offset, taken replay.SnapshotInfo, wall time.Time, retention time.Duration) bool {
	if at == 0 {
		return false
	}
	if taken.Offset == 0 {
		return true
	}
	age := wall.Sub(taken.WrittenAt)
	if age >= retention/ageDivisor {
		return true
	}
	return at-taken.Offset >= maxRecords && age >= retention/minIntervalDivisor
}
