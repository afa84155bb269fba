package lender

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// maxForcePoints is how many positions are remembered.
const maxForcePoints = 64

// forceHistory remembers since when this daemon has known which offset to be in force.
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
		// The oldest stays: most edits are older than it.
		f.points = slices.Delete(f.points, 1, 2)
	}
}

// knownSince returns an instant at which the offset was certainly in force: the
// earliest that is remembered. It is false when it is not known to be in force.
func (f *forceHistory) knownSince(offset ids.Offset) (units.Instant, bool) {
	for _, p := range f.points {
		if p.offset >= offset {
			return p.at, true
		}
	}
	return 0, false
}
