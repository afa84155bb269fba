package lender

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// maxForcePoints is the number of points that are retained.
const maxForcePoints = 64

// forceHistory records since when this daemon has known which offset to be in force.
type forceHistory struct{ points []forcePoint }

type forcePoint struct {
	at     units.Instant
	offset ids.Offset
}

func (f *forceHistory) observe(now units.Instant, offset ids.Offset) {
	if n := len(f.points); n > 0 && f.points[n-1].offset == offset {
		return
	}
	f.points = append(f.points, forcePoint{at: now, offset: offset})
	if len(f.points) > maxForcePoints {
		// The oldest point stays, because most edits are older than it.
		f.points = slices.Delete(f.points, 1, 2)
	}
}

// knownSince returns the earliest retained instant at which the offset was known to be in
// force. It returns false when the offset isn't known to be in force yet.
func (f *forceHistory) knownSince(offset ids.Offset) (units.Instant, bool) {
	for _, p := range f.points {
		if p.offset >= offset {
			return p.at, true
		}
	}
	return 0, false
}
