package router

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/admission"
	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// addGatekeeper registers a daemon with a ready target in a data centre.
func addGatekeeper(t *testing.T, r *Router, address ids.Address, centre ids.Centre) {
	t.Helper()
	raw, err := cbor.Marshal(registry.Registration{
		Daemon: ids.Daemon(address), Address: address, Centre: centre, Service: "quotes", Target: "i-1",
		Slots: 10, State: registry.Ready, Incarnation: 1, Revision: 1,
	})
	must.NoError(t, err)
	r.registry.Merge(raw)
}

// Load pattern: uploads while the targets of the data centre are full. Their bodies stay there for half
// of the objective, and go to another data centre then; small requests go at once. Without the term, or
// without a near target, nothing waits.
func TestLongBodiesStayNear(t *testing.T) {
	withRouter(t, func(t *testing.T, r *Router) {
		r.admission = &admission.Admission{Common: r.Common}
		r.Common.Mesh.Admission = settings.Admission{Terms: "base,short", When: "short"}
		addGatekeeper(t, r, "10.0.0.2:7", "valle")
		long := func() *exchange {
			x := newExchange()
			x.startedAt, x.route.Objective = r.Common.Clock.Now(), 8*time.Second
			x.inbound.Body = body.Of(make([]byte, 60<<10))
			return x
		}
		picks := func(x *exchange) ids.Address {
			to, _ := r.pickGatekeeper(x)
			return to.Address
		}
		must.EqOp(t, "10.0.0.2:7", picks(long()))
		addGatekeeper(t, r, "10.0.0.3:7", "quito")
		upload := long()
		must.EqOp(t, "10.0.0.3:7", picks(upload))
		upload.skipped["10.0.0.3:7"] = true
		must.EqOp(t, "", picks(upload))
		small := long()
		small.inbound.Body = body.Of(make([]byte, 300))
		small.skipped["10.0.0.3:7"] = true
		must.EqOp(t, "10.0.0.2:7", picks(small))
		time.Sleep(4 * time.Second)
		must.EqOp(t, "10.0.0.2:7", picks(upload))
		r.Common.Mesh.Admission = settings.Admission{}
		other := long()
		other.skipped["10.0.0.3:7"] = true
		must.EqOp(t, "10.0.0.2:7", picks(other))
	})
}
