// Package routetable matches the host and the path of a request to a route.
//
// # Usage
//
//	var t routetable.Table
//	t.Put("andrade/quotes", route)
//	m, ok := t.Match("quotes.example", "/quotes/7")
//
// The longest prefix wins. Of two routes with the same prefix, one for the request's host
// wins over one for any host. A lookup takes at most two map accesses for each path
// segment, however many routes there are.
package routetable

import (
	"net"
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Table holds routes by host and path prefix. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	byPattern map[pattern][]ids.Route
	routes    map[ids.Route]settings.Route
}

// pattern is a host, empty for any, and a path prefix without its trailing slash.
type pattern struct {
	host   string
	prefix string
}

// Match is the route that a request matched.
type Match struct {
	ID    ids.Route
	Route settings.Route
}

// Service returns the service to which the route forwards requests.
func (m Match) Service() ids.Service { return ids.ServiceOf(ids.TeamOf(m.ID), m.Route.Service) }

// Put adds a route, or replaces the one with the same id.
func (t *Table) Put(id ids.Route, r settings.Route) {
	if t.routes == nil {
		t.routes = map[ids.Route]settings.Route{}
		t.byPattern = map[pattern][]ids.Route{}
	}
	t.Remove(id)
	t.routes[id] = r
	p := patternOf(r)
	t.byPattern[p] = insert(t.byPattern[p], id)
}

// insert adds the id to the sorted list. The order makes all daemons match the same route
// when two have the same pattern.
func insert(list []ids.Route, id ids.Route) []ids.Route {
	i := 0
	for i < len(list) && list[i] < id {
		i++
	}
	list = append(list, "")
	copy(list[i+1:], list[i:])
	list[i] = id
	return list
}

// Remove deletes the route, if there is one with the id.
func (t *Table) Remove(id ids.Route) {
	old, ok := t.routes[id]
	if !ok {
		return
	}
	delete(t.routes, id)
	p := patternOf(old)
	list := t.byPattern[p]
	for i, other := range list {
		if other == id {
			t.byPattern[p] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(t.byPattern[p]) == 0 {
		delete(t.byPattern, p)
	}
}

// Match returns the route for the host, which may have a port, and the path.
func (t *Table) Match(host, path string) (Match, bool) {
	host = hostName(host)
	for prefix := strings.TrimSuffix(path, "/"); ; prefix = parent(prefix) {
		for _, h := range []string{host, ""} {
			if list := t.byPattern[pattern{host: h, prefix: prefix}]; len(list) > 0 {
				return Match{ID: list[0], Route: t.routes[list[0]]}, true
			}
		}
		if prefix == "" {
			return Match{}, false
		}
	}
}

// RouteAt returns the route with the same host and prefix as r; of several, the one that
// Match returns.
func (t *Table) RouteAt(r settings.Route) (ids.Route, bool) {
	list := t.byPattern[patternOf(r)]
	if len(list) == 0 {
		return "", false
	}
	return list[0], true
}

// parent removes the last segment of a path.
func parent(path string) string {
	return path[:max(0, strings.LastIndexByte(path, '/'))]
}

func patternOf(r settings.Route) pattern {
	return pattern{host: hostName(r.Host), prefix: strings.TrimSuffix(r.Prefix, "/")}
}

// hostName returns the host in lower case, without its port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
