// Package ids defines the types of the identifiers that daemons, operators and log
// records use.
//
// Each kind of identifier has its own type, so that a target can't be passed where an
// account is expected.
//
// # Usage
//
//	team := ids.Team("andrade")
//	svc := ids.ServiceOf(team, "payments") // "andrade/payments"
package ids

import "strings"

type (
	// Daemon identifies a daemon, which runs on one VM.
	Daemon string
	// Incarnation numbers the starts of a daemon; each restart gets a higher number.
	Incarnation uint64
	// Target identifies the instance of one backend server behind a gatekeeper.
	Target string
	// Service identifies a service as team/name.
	Service string
	// Route identifies a route as team/name.
	Route string
	// Account identifies a client account as team/name.
	Account string
	// Team identifies the owner of a subtree of the settings.
	Team string
	// Centre identifies a data centre.
	Centre string
	// Region identifies a group of data centres.
	Region string
	// Edit identifies an operator's edit; a retried append carries the same Edit.
	Edit string
	// Hash is the hex SHA-256 of a client account's key or of a team's credential.
	Hash string
	// Path is the path of one section of the settings, as in "teams/andrade/services/payments".
	Path string
	// Offset is a position in one stream of the platform's log. The first record has
	// offset 1.
	Offset uint64
	// Era numbers the copies of the platform's store: it rises whenever the store comes back from an
	// older copy. Offsets of two eras can't be compared.
	Era uint64
	// Address is an IP address with a port.
	Address string
)

// ServiceOf returns the identifier of a team's service.
func ServiceOf(t Team, name string) Service { return Service(string(t) + "/" + name) }

// RouteOf returns the identifier of a team's route.
func RouteOf(t Team, name string) Route { return Route(string(t) + "/" + name) }

// AccountOf returns the identifier of a team's client account.
func AccountOf(t Team, name string) Account { return Account(string(t) + "/" + name) }

// TeamOf returns the team that owns the given service, route or account.
func TeamOf[T ~string](id T) Team {
	team, _, _ := strings.Cut(string(id), "/")
	return Team(team)
}

// NameOf returns the name of a service, route or account identifier within its team.
func NameOf[T ~string](id T) string {
	_, name, _ := strings.Cut(string(id), "/")
	return name
}

// Call identifies one attempt of a caller; each attempt has its own identifier.
type Call string

// Version numbers the configurations that operators publish, in ascending order.
type Version uint64

// Rank is the priority of a request that competes for a target; 0 is the highest.
type Rank int

// Start identifies one start of a backend server.
type Start struct {
	Target Target
	// At is when it started, in Unix milliseconds of its own clock, which may jump: a later start
	// may have an earlier time.
	At int64
}
