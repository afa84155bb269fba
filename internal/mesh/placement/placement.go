// Package placement decides where a request may run: not in an evacuated data centre, and only in the
// home regions of its route and its client account.
//
// # Usage
//
//	rules := placement.Rules{Evacuated: table.Evacuated, Homes: [][]ids.Region{route.Homes, account.Homes}}
//	usable := rules.Filter(registrations)
package placement

import (
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
)

// Rules are what binds one request.
type Rules struct {
	// Evacuated reports whether a data centre is evacuated; nil means that none is.
	Evacuated func(ids.Centre) bool
	// Homes are lists of regions, each of which binds. An empty list allows all regions.
	Homes [][]ids.Region
}

// Allow reports whether the request may run at the backend server of the daemon.
func (r Rules) Allow(reg registry.Registration) bool {
	if r.Evacuated != nil && r.Evacuated(reg.Centre) {
		return false
	}
	for _, homes := range r.Homes {
		if len(homes) > 0 && !slices.Contains(homes, reg.Region) {
			return false
		}
	}
	return true
}

// Filter returns the registrations at which the request may run. It returns the list itself if that
// is all of them.
func (r Rules) Filter(list []registry.Registration) []registry.Registration {
	if !slices.ContainsFunc(list, func(reg registry.Registration) bool { return !r.Allow(reg) }) {
		return list
	}
	var allowed []registry.Registration
	for _, reg := range list {
		if r.Allow(reg) {
			allowed = append(allowed, reg)
		}
	}
	return allowed
}
