package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Permit requests permission to eject a target from the steward of its service, or
// renews it.
type Permit struct {
	Service     ids.Service
	Target      ids.Target
	Incarnation ids.Incarnation
	Number      uint64
	Slots       units.Slots
	// Badness is the evidence of one outcome against the target.
	Badness float64
}

// Permitted answers a Permit. Reason is empty if it was granted.
type Permitted struct {
	Granted bool
	Reason  string
}

// Release returns a permit to the steward.
type Release struct {
	Service     ids.Service
	Target      ids.Target
	Incarnation ids.Incarnation
	Number      uint64
}

// Released answers a Release.
type Released struct{}

// Compare requests summaries of the outcomes within Window at a daemon's targets of a
// service. An empty route means all routes.
type Compare struct {
	Service ids.Service
	Route   ids.Route
	Window  time.Duration
}

// Summary answers a Compare with one summary for each target that is in service.
type Summary struct{ Targets []sibling.Summary }

func (Permit) isMessage()    {}
func (Permitted) isMessage() {}
func (Release) isMessage()   {}
func (Released) isMessage()  {}
func (Compare) isMessage()   {}
func (Summary) isMessage()   {}
