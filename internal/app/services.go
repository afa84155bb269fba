package app

import (
	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/confirm"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/dispatch"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/entry"
	"balsamwharf.example/balsamwharf/internal/force"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/gossip"
	"balsamwharf.example/balsamwharf/internal/guard"
	"balsamwharf.example/balsamwharf/internal/hop"
	"balsamwharf.example/balsamwharf/internal/lender"
	"balsamwharf.example/balsamwharf/internal/limit"
	"balsamwharf.example/balsamwharf/internal/permit"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/publish"
	"balsamwharf.example/balsamwharf/internal/relay"
	"balsamwharf.example/balsamwharf/internal/rosterproposer"
	"balsamwharf.example/balsamwharf/internal/snapshot"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// Dependencies are the dependencies through which a daemon reaches other processes. Package
// soak replaces them with fakes.
type Dependencies struct {
	Log platformlog.Log
	// Dial is the service "dial", which implements peer.Caller.
	Dial service.Service
	// Dialer connects to backend servers; nil means TCP.
	Dialer gatekeeper.Dialer
}

// Services returns every service of a daemon except those that listen on sockets,
// reload certificates or drain the listeners.
func Services(c *common.Common, deps Dependencies) []service.Service {
	return []service.Service{
		c.Clock,
		&directory.Directory{Clock: c.Clock},
		&tail.Tail{Common: c, Log: deps.Log},
		&relay.Relay{Common: c},
		&publish.Publisher{Common: c, Log: deps.Log},
		&snapshot.Writer{Common: c, Log: deps.Log},
		&limit.Limiter{Common: c},
		deps.Dial,
		&gossip.Gossip{Common: c},
		&force.Force{Common: c},
		&confirm.Confirm{Common: c},
		&permit.Manager{Common: c},
		&ejector.Ejector{Common: c, Dialer: deps.Dialer},
		&rosterproposer.Proposer{Common: c, Log: deps.Log},
		&lender.Lender{Common: c},
		&guard.Guard{Common: c},
		&gatekeeper.Gatekeeper{Common: c, Dialer: deps.Dialer},
		&hop.Hop{Common: c},
		&dispatch.Dispatcher{Common: c},
		&burn.Tracker{Common: c},
		&entry.Entry{Common: c},
	}
}
