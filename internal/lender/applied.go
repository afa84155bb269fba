package lender

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// appliedLimit is how many positions are remembered.
const appliedLimit = 64

// applied remembers when this daemon had applied the settings up to which offset.
type applied struct{ points []point }

type point struct {
	at     units.Instant
	offset ids.Offset
}

func (a *applied) observe(now units.Instant, offset ids.Offset) {
	if n := len(a.points); n > 0 && a.points[n-1].offset == offset {
		return
	}
	a.points = append(a.points, point{at: now, offset: offset})
	if len(a.points) > appliedLimit {
		// The oldest stays: most settings are older than it.
		a.points = slices.Delete(a.points, 1, 2)
	}
}

// since returns an instant at which the offset was certainly applied: the
// earliest that is remembered, or now.
func (a *applied) since(now units.Instant, offset ids.Offset) units.Instant {
	for _, p := range a.points {
		if p.offset >= offset {
			return p.at
		}
	}
	return now
}
