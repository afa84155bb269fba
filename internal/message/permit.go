package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sibling"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Permit asks the steward of a service for leave to eject a target, or renews it.
type Permit struct {
	Service     ids.Service
	Target      ids.Target
	Incarnation ids.Incarnation
	Number      uint64
	Slots       units.Slots
	Badness     float64
}

// Permitted answers a Permit. Reason is empty when it was granted.
type Permitted struct {
	Granted bool
	Reason  string
}

// Release gives a permit back.
type Release struct {
	Service     ids.Service
	Target      ids.Target
	Incarnation ids.Incarnation
	Number      uint64
}

// Released answers a Release.
type Released struct{}

// Compare asks a daemon how its targets of a service fared lately. An empty route
// means all routes.
type Compare struct {
	Service ids.Service
	Route   ids.Route
	Window  time.Duration
}

// Summary answers a Compare with one summary for each target in service.
type Summary struct{ Targets []sibling.Summary }

func (Permit) isMessage()    {}
func (Permitted) isMessage() {}
func (Release) isMessage()   {}
func (Released) isMessage()  {}
func (Compare) isMessage()   {}
func (Summary) isMessage()   {}
