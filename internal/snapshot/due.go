package snapshot

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
)

const (
	// maxRecords is how many records a new daemon should have to replay at most.
	maxRecords = 4096
	// ageDivisor makes a snapshot due after a quarter of the retention, so that
	// several attempts are possible before records expire.
	ageDivisor = 4
	// minIntervalDivisor keeps at least 1/48 of the retention between two snapshots,
	// however many records are appended.
	minIntervalDivisor = 48
)

// due reports whether the state should be written to the log again. A snapshot
// expires like any record, so its age alone can make the next one due.
func due(at ids.Offset, latest replay.SnapshotInfo, wall time.Time, retention time.Duration) bool {
	if at == 0 {
		return false
	}
	if latest.Offset == 0 {
		return true
	}
	age := wall.Sub(latest.WrittenAt)
	if age >= retention/ageDivisor {
		return true
	}
	return at-latest.Offset >= maxRecords && age >= retention/minIntervalDivisor
}
