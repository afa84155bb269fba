package settings

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Route is the section teams/TEAM/routes/NAME.
type Route struct {
	Host     string        `ini:"host" default:"" unit:"name" doc:"Host that callers name; empty matches every host."`
	Prefix   string        `ini:"prefix" default:"/" unit:"path" doc:"Start of the paths that the route takes. The longest prefix wins."`
	Service  string        `ini:"service" default:"" unit:"name" doc:"Service of the same team that answers."`
	Patience Patience      `ini:"patience" default:"normal" unit:"short, normal or long" doc:"Order within a client account's queue; short also allows hedges."`
	Open     bool          `ini:"open" default:"no" unit:"yes or no" doc:"Whether callers without a key are served."`
	Replay   Replay        `ini:"replay" default:"method" unit:"method, always or never" doc:"Which requests are idempotent."`
	Deadline time.Duration `ini:"deadline" default:"0s" unit:"duration" doc:"Time for a request; 0s takes the service's."`
	Query    string        `ini:"query" default:"" unit:"name" doc:"Query parameter that may also carry the key."`
	Cookie   string        `ini:"cookie" default:"" unit:"name" doc:"Cookie that may also carry the key."`
}

// Check implements Section.
func (r Route) Check() error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("prefix is %q, but must start with /", r.Prefix)
	}
	if r.Service == "" || strings.Contains(r.Service, "/") {
		return fmt.Errorf("service is %q, but must name a service of the same team", r.Service)
	}
	switch r.Patience {
	case PatienceShort, PatienceNormal, PatienceLong:
	default:
		return fmt.Errorf("patience is %q, but must be short, normal or long", r.Patience)
	}
	switch r.Replay {
	case ReplayByMethod, ReplayAlways, ReplayNever:
	default:
		return fmt.Errorf("replay is %q, but must be method, always or never", r.Replay)
	}
	if r.Deadline < 0 {
		return errors.New("deadline must not be below 0")
	}
	return nil
}
