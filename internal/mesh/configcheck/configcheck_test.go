package configcheck_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/configcheck"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
	"balsamwharf.example/balsamwharf/internal/units"
)

// valid returns a configuration without findings.
func valid() configcheck.Config {
	return configcheck.Config{
		Version: 7,
		Limits:  policy.Limits{Header: 1, Body: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		Routes: []policy.Route{
			{ID: "r1", Host: "a", Prefix: "/x/", Timeout: 2 * time.Second, Objective: time.Second, Attempts: 2, Clusters: []policy.Cluster{{Service: "s1", Weight: 1}}},
			{ID: "r2", Host: "a", Prefix: "/x/y/", Attempts: 1, Clusters: []policy.Cluster{{Service: "s1", Weight: 9}, {Service: "s2", Weight: 1}}},
		},
		Services: []policy.Service{{ID: "s1"}, {ID: "s2", ColdRate: 15, HealthPath: "/health"}},
		Accounts: []configcheck.Account{
			{Account: policy.Account{ID: "school", Rate: 10, Burst: 10 * units.Token}, Keys: []ids.Hash{"k1", "k2"}},
			{Account: policy.Account{ID: "office"}, Keys: []ids.Hash{"k3"}},
		},
	}
}

// Each fault is found where it is, and nothing else.
func TestFindings(t *testing.T) {
	must.SliceEmpty(t, configcheck.Check(valid()))
	cases := []struct {
		name   string
		change func(*configcheck.Config)
		want   string
	}{
		{"a route that never matches", func(c *configcheck.Config) { c.Routes[1].Prefix = "/x/" }, "warning routes[1]"},
		{"two routes of one name", func(c *configcheck.Config) { c.Routes[1].ID = "r1" }, "error routes[1].name"},
		{"a prefix without a slash", func(c *configcheck.Config) { c.Routes[0].Prefix = "/x" }, "error routes[0].prefix"},
		{"no host", func(c *configcheck.Config) { c.Routes[0].Host = "" }, "error routes[0].host"},
		{"a time-out below the objective", func(c *configcheck.Config) { c.Routes[0].Timeout = time.Millisecond }, "warning routes[0].timeout"},
		{"no attempts", func(c *configcheck.Config) { c.Routes[0].Attempts = 0 }, "error routes[0].attempts"},
		{"no weight", func(c *configcheck.Config) { c.Routes[0].Clusters[0].Weight = 0 }, "error routes[0].services"},
		{"an unknown service", func(c *configcheck.Config) { c.Routes[1].Clusters[0].Service = "s3" }, "warning routes[1].services[0]"},
		{"a service without a route", func(c *configcheck.Config) { c.Services = append(c.Services, policy.Service{ID: "s3"}) }, "warning services[2]"},
		{"no health check for a limit", func(c *configcheck.Config) { c.Services[1].HealthPath = "" }, "warning services[1].healthPath"},
		{"a key of two accounts", func(c *configcheck.Config) { c.Accounts[1].Keys[0] = "k2" }, "error accounts[1].keys[0]"},
		{"no key", func(c *configcheck.Config) { c.Accounts[1].Keys = nil }, "warning accounts[1].keys"},
		{"a burst without a rate", func(c *configcheck.Config) { c.Accounts[1].Burst = units.Token }, "warning accounts[1].burst"},
		{"a burst below a request", func(c *configcheck.Config) { c.Accounts[0].Burst = units.Token / 2 }, "warning accounts[0].burst"},
		{"a negative rate", func(c *configcheck.Config) { c.Accounts[0].Rate = -1 }, "error accounts[0].rate"},
		{"no limit of bodies", func(c *configcheck.Config) { c.Limits.Body = 0 }, "error limits.body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := valid()
			c.change(&config)
			found := configcheck.Check(config)
			must.SliceLen(t, 1, found)
			must.EqOp(t, c.want, fmt.Sprint(found[0].Level, " ", found[0].Path))
		})
	}
}

// Entries that differ are told by kind and name, with what was and what will be, and keys never appear.
func TestCompare(t *testing.T) {
	must.SliceEmpty(t, configcheck.Compare(valid(), valid()))
	next := valid()
	next.Version = 8
	next.Routes[0].Timeout = 3 * time.Second
	next.Routes[1].ID = "r3"
	next.Accounts[0].Keys = []ids.Hash{"0123456789abcdef"}
	must.Eq(t, []configcheck.Difference{
		{Kind: "route", Name: "r1", What: configcheck.Changed, Fields: []string{"timeout: 2s -> 3s"}},
		{Kind: "route", Name: "r2", What: configcheck.Removed},
		{Kind: "route", Name: "r3", What: configcheck.Added},
		{Kind: "account", Name: "school", What: configcheck.Changed, Fields: []string{"keys: k1 k2 -> 01234567"}},
	}, configcheck.Compare(valid(), next))
	must.SliceEmpty(t, configcheck.CheckOrder(valid(), next))
	must.SliceLen(t, 1, configcheck.CheckOrder(next, valid()))
}
