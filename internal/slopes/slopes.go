// Package slopes holds what the bench measured, as docs/slopes.json keeps it.
//
// # Usage
//
//	s, err := slopes.Read(text)
//	text, err := s.Text()
package slopes

import (
	"encoding/json"

	"github.com/joomcode/errorx"
)

// Slopes are costs of one daemon. Times are in microseconds of processor time and
// sizes in bytes.
type Slopes struct {
	// Command made the file.
	Command string `json:"command"`
	// Rest is one daemon's cost in a second at several sizes of the fleet, by
	// members with 13 targets each, without QUIC.
	Rest   []Rest `json:"rest"`
	Memory Memory `json:"memory"`
	Work   Work   `json:"work"`
}

// Rest is what a daemon without requests spends in a second.
type Rest struct {
	Members   int     `json:"members"`
	Processor float64 `json:"processor"`
	Bytes     float64 `json:"bytes"`
	Messages  float64 `json:"messages"`
}

// Memory is live heap for each thing.
type Memory struct {
	// Base is one daemon of a small fleet with its backend server's stand-in.
	Base    float64 `json:"base"`
	Route   float64 `json:"route"`
	Account float64 `json:"account"`
	Key     float64 `json:"key"`
	// Member is a member without targets in the directory, Target each target.
	Member float64 `json:"member"`
	Target float64 `json:"target"`
	// Seat is a daemon in each of the rosters that are kept.
	Seat float64 `json:"seat"`
	// Held is a client account's share at its holder, Note a guard's note.
	Held float64 `json:"held"`
	Note float64 `json:"note"`
	// Link is both ends of an idle QUIC connection.
	Link float64 `json:"link"`
}

// Work is the cost of single steps.
type Work struct {
	// Change is one edit applied, Roster one roster of 2,000 daemons applied.
	Change float64 `json:"change"`
	Roster float64 `json:"roster"`
	// Seating is the time in which a holder finds one account's share again.
	Seating float64 `json:"seating"`
	// Call is a question and its answer over QUIC, both ends; Wire is the bytes
	// that it needs beyond the messages.
	Call float64 `json:"call"`
	Wire float64 `json:"wire"`
	// Handshake opens a QUIC connection, both ends.
	Handshake float64 `json:"handshake"`
	// Request is one request with caller, entry, gatekeeper and stand-in in one
	// process; Direct is the same without the fleet.
	Request float64 `json:"request"`
	Direct  float64 `json:"direct"`
	// Force is the median time from an append until it is in force, in a small
	// fleet, in microseconds of time passed.
	Force float64 `json:"force"`
}

// Read reads the file's text.
func Read(text []byte) (Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(text, &s); err != nil {
		return s, errorx.Decorate(err, "read slopes")
	}
	return s, nil
}

// Text returns the file's text.
func (s Slopes) Text() ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, errorx.Decorate(err, "write slopes")
	}
	return append(text, '\n'), nil
}
