package trial

import (
	"math"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Fault is how the sick target misbehaves. The interface is sealed.
type Fault interface{ isFault() }

// Errs turns a share of the answers into errors.
type Errs struct{ Share float64 }

// Slow multiplies the latency.
type Slow struct{ Factor float64 }

// Hangs never answers; the gatekeeper notices after the hang limit.
type Hangs struct{}

// Route errs for one of the routes only.
type Route struct{}

// Flaps errs always during every other period.
type Flaps struct{ Period time.Duration }

// Cuts ends every answer early.
type Cuts struct{}

// Refuses refuses connections.
type Refuses struct{}

func (Errs) isFault()    {}
func (Slow) isFault()    {}
func (Hangs) isFault()   {}
func (Route) isFault()   {}
func (Flaps) isFault()   {}
func (Cuts) isFault()    {}
func (Refuses) isFault() {}

// sickRoute is the route that fails under Route.
const sickRoute ids.Route = "a"

// refusal is the time in which a connection is refused.
const refusal = time.Millisecond

// strike returns how a request ends under the fault.
func (r *run) strike(now units.Instant, route ids.Route, took time.Duration, s sample.Sample) (time.Duration, sample.Sample) {
	switch f := r.plan.Fault.(type) {
	case Errs:
		if r.rng.Float64() < f.Share {
			return took, sample.ServerError{}
		}
	case Slow:
		took = time.Duration(float64(took) * f.Factor)
		return took, sample.Good{Took: took}
	case Hangs:
		limit := float64(r.plan.Typical) * math.Exp(hangFactor*r.plan.Spread)
		return time.Duration(limit), sample.Hung{}
	case Route:
		if route == sickRoute {
			return took, sample.ServerError{}
		}
	case Flaps:
		if int(now.Sub(units.Instant(r.plan.At))/f.Period)%2 == 0 {
			return took, sample.ServerError{}
		}
	case Cuts:
		return took, sample.Truncated{}
	case Refuses:
		return refusal, sample.ConnectFailed{}
	}
	return took, s
}
