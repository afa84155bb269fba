// Package policy holds one configuration as operators published it: routes, client accounts
// with their keys, and limits on what callers may send.
//
// # Usage
//
//	b := policy.Builder{Version: 7, KeyRequired: true}
//	b.Route(route)
//	b.Account(account, hashes)
//	p := b.Policy()
//	route, ok := p.Match("quotes.example", "/quotes/7")
//
// A Policy is immutable and may be read concurrently without a lock.
package policy

import (
	"strings"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/routetable"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Cluster is one service of a route with its weight in the split of requests.
type Cluster struct {
	Service ids.Service
	Weight  units.Weight
}

// Route defines where requests are sent and how they are handled.
type Route struct {
	ID     ids.Route
	Host   string
	Prefix string
	// Idempotent is set when requests may run more than once.
	Idempotent bool
	// Timeout is the longest time until a caller gets an answer; zero means no limit.
	Timeout time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	Rank      ids.Rank
	// Clusters holds at least one service.
	Clusters []Cluster
	// Attempts is the largest number of targets to which one request is sent.
	Attempts int
	// Public is set when requests need no key.
	Public bool
	// Homes holds the only regions in which requests may run; empty means any.
	Homes []ids.Region
}

// Service defines how the targets of one service are treated.
type Service struct {
	ID ids.Service
	// ColdRate is how many requests a second a target bears while it is cold; zero means that there
	// is no limit.
	ColdRate units.Rate
	// HealthPath is the path of a target's health check.
	HealthPath string
}

// Account is a client account with its limits.
type Account struct {
	ID   ids.Account
	Rank ids.Rank
	// HasRank is set when the account has a rank of its own, which takes precedence over the rank
	// of the route.
	HasRank bool
	// Rate is zero when the account has no limit.
	Rate  units.Rate
	Burst units.Tokens
	// Homes holds the only regions in which requests may run; empty means any.
	Homes []ids.Region
}

// Limits bounds the requests of callers.
type Limits struct {
	Header        units.Bytes
	Body          units.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is one configuration.
type Policy struct {
	Version ids.Version
	Limits  Limits
	// KeyRequired is set when requests on routes that are not public need a key.
	KeyRequired bool

	table    routetable.Table
	routes   map[ids.Route]Route
	services map[ids.Service]Service
	accounts map[ids.Account]Account
	keys     map[ids.Hash]ids.Account
}

// Builder builds a Policy.
type Builder struct {
	Version     ids.Version
	Limits      Limits
	KeyRequired bool

	policy Policy
}

// Route adds a route.
func (b *Builder) Route(r Route) {
	if b.policy.routes == nil {
		b.policy.routes = map[ids.Route]Route{}
	}
	b.policy.routes[r.ID] = r
	b.policy.table.Put(r.ID, settings.Route{Host: r.Host, Prefix: r.Prefix})
}

// Service adds a service. Services that are not added have no limits.
func (b *Builder) Service(s Service) {
	if b.policy.services == nil {
		b.policy.services = map[ids.Service]Service{}
	}
	b.policy.services[s.ID] = s
}

// Account adds a client account with the hashes of its keys.
func (b *Builder) Account(a Account, keys []ids.Hash) {
	if b.policy.accounts == nil {
		b.policy.accounts = map[ids.Account]Account{}
		b.policy.keys = map[ids.Hash]ids.Account{}
	}
	b.policy.accounts[a.ID] = a
	for _, k := range keys {
		b.policy.keys[k] = a.ID
	}
}

// Policy returns the policy. The builder must not be used afterwards.
func (b *Builder) Policy() *Policy {
	b.policy.Version, b.policy.Limits, b.policy.KeyRequired = b.Version, b.Limits, b.KeyRequired
	return &b.policy
}

// Match returns the route for the host and the path. A prefix ends with a slash and only
// matches paths that begin with the whole of it.
func (p *Policy) Match(host, path string) (Route, bool) {
	for {
		m, ok := p.table.Match(host, path)
		if !ok {
			return Route{}, false
		}
		if strings.HasPrefix(path, m.Route.Prefix) {
			return p.routes[m.ID], true
		}
		shorter := strings.TrimSuffix(m.Route.Prefix, "/")
		path = shorter[:max(0, strings.LastIndexByte(shorter, '/'))] + "/"
		if len(path) >= len(m.Route.Prefix) || shorter == "" {
			return Route{}, false
		}
	}
}

// Account returns the client account that owns the key.
func (p *Policy) Account(key ids.Hash) (Account, bool) {
	id, ok := p.keys[key]
	if !ok {
		return Account{}, false
	}
	return p.AccountByID(id)
}

// AccountByID returns the account with the given id.
func (p *Policy) AccountByID(id ids.Account) (Account, bool) {
	a, ok := p.accounts[id]
	return a, ok
}

// Service returns how the targets of the service are treated.
func (p *Policy) Service(id ids.Service) Service { return p.services[id] }

// Services returns the services that routes lead to.
func (p *Policy) Services() []ids.Service {
	seen, list := map[ids.Service]bool{}, []ids.Service(nil)
	for _, r := range p.routes {
		for _, c := range r.Clusters {
			if !seen[c.Service] {
				seen[c.Service] = true
				list = append(list, c.Service)
			}
		}
	}
	return list
}

// Routes returns the number of routes.
func (p *Policy) Routes() int { return len(p.routes) }
