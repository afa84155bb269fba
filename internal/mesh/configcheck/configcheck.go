// Package configcheck finds faults in a configuration before it is published, and what differs from
// the one in force.
//
// # Usage
//
//	for _, f := range configcheck.Check(c) { fmt.Println(f.Level, f.Path, f.Text) }
//	for _, d := range configcheck.Compare(inForce, c) { fmt.Println(d.Kind, d.Name, d.What) }
//
// It takes plain values, so that any format of a configuration can be checked. Errors are what daemons
// would reject or what can't be meant; warnings are what is valid and has no use or contradicts itself.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/policy"
)

// Config is a configuration with its entries in the order in which they were written.
type Config struct {
	Version  ids.Version
	Limits   policy.Limits
	Routes   []policy.Route
	Services []policy.Service
	Accounts []Account
}

// Account is a client account with the hashes of its keys.
type Account struct {
	policy.Account
	Keys []ids.Hash
}

// Level is how serious a finding is.
type Level string

// The levels.
const (
	// Error: the configuration must not be published as it is.
	Error Level = "error"
	// Warning: the entry is valid, and probably not what was meant.
	Warning Level = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Level Level `json:"level"`
	// Path names the entry, such as routes[3].timeout.
	Path string `json:"path"`
	// Text says what is wrong and what was expected.
	Text string `json:"text"`
}

// checker collects findings.
type checker struct{ findings []Finding }

func (c *checker) add(l Level, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Level: l, Path: path, Text: fmt.Sprintf(format, args...)})
}

// Check returns the findings, errors first, and otherwise in the order of the entries.
func Check(c Config) []Finding {
	var found checker
	found.checkLimits(c.Limits)
	found.checkRoutes(c)
	found.checkServices(c)
	found.checkAccounts(c.Accounts)
	slices.SortStableFunc(found.findings, func(a, b Finding) int { return cmp.Compare(a.Level, b.Level) })
	return found.findings
}

func (c *checker) checkLimits(l policy.Limits) {
	for name, value := range map[string]int64{
		"limits.header": int64(l.Header), "limits.body": int64(l.Body),
		"limits.headerTimeout": int64(l.HeaderTimeout), "limits.idleTimeout": int64(l.IdleTimeout),
	} {
		if value <= 0 {
			c.add(Error, name, "is %d, a limit must be above 0", value)
		}
	}
}

// pattern is what a route matches.
type pattern struct{ host, prefix string }

func (c *checker) checkRoutes(config Config) {
	names, patterns := map[ids.Route]int{}, map[pattern]int{}
	services := map[ids.Service]bool{}
	for _, s := range config.Services {
		services[s.ID] = true
	}
	for i, r := range config.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if first, ok := names[r.ID]; ok {
			c.add(Error, path+".name", "%q is the name of routes[%d] too", r.ID, first)
		} else {
			names[r.ID] = i
		}
		p := pattern{r.Host, r.Prefix}
		if first, ok := patterns[p]; ok {
			c.add(Warning, path, "never matches: routes[%d] (%s) has the same host and prefix", first, config.Routes[first].ID)
		} else {
			patterns[p] = i
		}
		c.checkRoute(path, r, services)
	}
}

func (c *checker) checkRoute(path string, r policy.Route, services map[ids.Service]bool) {
	if r.Host == "" {
		c.add(Error, path+".host", "is empty, no request has an empty host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, path+".prefix", "is %q, it must begin and end with a slash", r.Prefix)
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		c.add(Warning, path+".timeout", "is %s, below the latency objective of %s", r.Timeout, r.Objective)
	}
	if r.Attempts < 1 {
		c.add(Error, path+".attempts", "is %d, a request needs one attempt", r.Attempts)
	}
	total := 0
	for k, cluster := range r.Clusters {
		total += max(int(cluster.Weight), 0)
		if cluster.Weight < 0 {
			c.add(Error, fmt.Sprintf("%s.services[%d].weight", path, k), "is %d, it must not be below 0", cluster.Weight)
		}
		if len(services) > 0 && !services[cluster.Service] {
			c.add(Warning, fmt.Sprintf("%s.services[%d]", path, k), "%q is not among the services", cluster.Service)
		}
	}
	if total == 0 {
		c.add(Error, path+".services", "no service has a weight above 0")
	}
}

func (c *checker) checkServices(config Config) {
	used, names := map[ids.Service]bool{}, map[ids.Service]int{}
	for _, r := range config.Routes {
		for _, cluster := range r.Clusters {
			used[cluster.Service] = true
		}
	}
	for i, s := range config.Services {
		path := fmt.Sprintf("services[%d]", i)
		if first, ok := names[s.ID]; ok {
			c.add(Error, path+".name", "%q is the name of services[%d] too", s.ID, first)
		}
		names[s.ID] = i
		if !used[s.ID] {
			c.add(Warning, path, "no route leads to %q", s.ID)
		}
		if s.ColdRate > 0 && s.HealthPath == "" {
			c.add(Warning, path+".healthPath", "is empty, so a warm target never gets more than the %g requests a second that a cold one bears", float64(s.ColdRate))
		}
	}
}

func (c *checker) checkAccounts(accounts []Account) {
	names, keys := map[ids.Account]int{}, map[ids.Hash]int{}
	for i, a := range accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		if first, ok := names[a.ID]; ok {
			c.add(Error, path+".name", "%q is the name of accounts[%d] too", a.ID, first)
		}
		names[a.ID] = i
		if len(a.Keys) == 0 {
			c.add(Warning, path+".keys", "%q has no key, so it can't send requests", a.ID)
		}
		for k, key := range a.Keys {
			if first, ok := keys[key]; ok {
				c.add(Error, fmt.Sprintf("%s.keys[%d]", path, k), "is a key of accounts[%d] too", first)
			}
			keys[key] = i
		}
		switch {
		case a.Rate < 0 || a.Burst < 0:
			c.add(Error, path+".rate", "the rate is %g and the burst %g, neither may be below 0", float64(a.Rate), tokens(a.Account))
		case a.Rate == 0 && a.Burst > 0:
			c.add(Warning, path+".burst", "is %g and can never be used: without a rate there is no limit", tokens(a.Account))
		case a.Rate > 0 && a.Burst > 0 && tokens(a.Account) < 1:
			c.add(Warning, path+".burst", "is %g and can never be used: a request takes 1", tokens(a.Account))
		}
	}
}

// tokens returns the burst of an account in requests.
func tokens(a policy.Account) float64 { return float64(a.Burst) / 1000 }

// What is how an entry differs.
type What string

// The differences.
const (
	Added   What = "added"
	Removed What = "removed"
	Changed What = "changed"
)

// Difference is one entry that differs from the configuration in force.
type Difference struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	What What   `json:"what"`
	// Fields holds, for a changed entry, each field with its values before and after.
	Fields []string `json:"fields,omitempty"`
}

// Compare returns what differs in the new configuration: limits first, then services, routes and
// accounts, each in the order of their names.
func Compare(inForce, next Config) []Difference {
	var list []Difference
	if fields := fieldsOf(limitFields(inForce.Limits), limitFields(next.Limits)); len(fields) > 0 {
		list = append(list, Difference{Kind: "limits", What: Changed, Fields: fields})
	}
	list = append(list, compare("service", byName(inForce.Services, serviceEntry), byName(next.Services, serviceEntry))...)
	list = append(list, compare("route", byName(inForce.Routes, routeEntry), byName(next.Routes, routeEntry))...)
	return append(list, compare("account", byName(inForce.Accounts, accountEntry), byName(next.Accounts, accountEntry))...)
}

// CheckOrder returns a finding if daemons would ignore the new configuration, because its version is
// not above that of the one in force.
func CheckOrder(inForce, next Config) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Level: Error, Path: "version", Text: fmt.Sprintf("is %d, daemons ignore it unless it is above %d, which is in force", next.Version, inForce.Version)}}
}

// field is the name of a field and its value as text.
type field struct{ name, value string }

func limitFields(l policy.Limits) []field {
	return []field{
		{"header", fmt.Sprint(l.Header)},
		{"body", fmt.Sprint(l.Body)},
		{"headerTimeout", l.HeaderTimeout.String()},
		{"idleTimeout", l.IdleTimeout.String()},
	}
}

func routeEntry(r policy.Route) (string, []field) {
	return string(r.ID), []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"idempotent", fmt.Sprint(r.Idempotent)},
		{"timeout", text(r.Timeout)},
		{"objective", text(r.Objective)},
		{"rank", fmt.Sprint(r.Rank)},
		{"services", fmt.Sprint(r.Clusters)},
		{"attempts", fmt.Sprint(r.Attempts)},
		{"public", fmt.Sprint(r.Public)},
		{"homes", fmt.Sprint(r.Homes)},
	}
}

func text(d time.Duration) string { return d.String() }

func serviceEntry(s policy.Service) (string, []field) {
	return string(s.ID), []field{{"healthPath", s.HealthPath}, {"coldRate", fmt.Sprint(s.ColdRate)}}
}

// accountEntry describes keys by the first digits of their hashes, never by themselves.
func accountEntry(a Account) (string, []field) {
	var keys []string
	for _, k := range a.Keys {
		keys = append(keys, string(k[:min(len(k), 8)]))
	}
	slices.Sort(keys)
	return string(a.ID), []field{
		{"rate", fmt.Sprint(a.Rate)},
		{"burst", fmt.Sprint(tokens(a.Account))},
		{"hasRank", fmt.Sprint(a.HasRank)},
		{"rank", fmt.Sprint(a.Rank)},
		{"keys", strings.Join(keys, " ")},
		{"homes", fmt.Sprint(a.Homes)},
	}
}

// byName returns the fields of each entry under its name.
func byName[T any](list []T, entry func(T) (string, []field)) map[string][]field {
	all := map[string][]field{}
	for _, e := range list {
		name, fields := entry(e)
		all[name] = fields
	}
	return all
}

func compare(kind string, before, after map[string][]field) []Difference {
	var list []Difference
	for name, fields := range after {
		old, ok := before[name]
		if !ok {
			list = append(list, Difference{Kind: kind, Name: name, What: Added})
		} else if changed := fieldsOf(old, fields); len(changed) > 0 {
			list = append(list, Difference{Kind: kind, Name: name, What: Changed, Fields: changed})
		}
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			list = append(list, Difference{Kind: kind, Name: name, What: Removed})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// fieldsOf returns the fields that differ, with both values.
func fieldsOf(before, after []field) []string {
	var changed []string
	for i, f := range after {
		if before[i].value != f.value {
			changed = append(changed, fmt.Sprintf("%s: %s -> %s", f.name, before[i].value, f.value))
		}
	}
	return changed
}
